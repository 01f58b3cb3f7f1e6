package org.jaywood.standin;

/**
 * Rate limit of calls: a bucket that holds the calls of one second.
 */
final class CallRate {

	private double perSecond;

	private double available;

	private long refilledNanos;

	CallRate(double perSecond, long nowNanos) {
		this.perSecond = perSecond;
		this.available = perSecond;
		this.refilledNanos = nowNanos;
	}

	synchronized void set(double callsPerSecond) {
		this.perSecond = callsPerSecond;
		this.available = Math.min(this.available, callsPerSecond);
	}

	/**
	 * Takes one call from the bucket.
	 * @return whether the call is within the rate
	 */
	synchronized boolean take(long nowNanos) {
		this.available = Math.min(this.perSecond,
				this.available + (nowNanos - this.refilledNanos) / 1e9 * this.perSecond);
		this.refilledNanos = nowNanos;
		if (this.available < 1) {
			return false;
		}
		this.available--;
		return true;
	}

}
