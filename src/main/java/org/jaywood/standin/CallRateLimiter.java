package org.jaywood.standin;

/**
 * Rate limiter of calls: a token bucket with a capacity of one second's calls.
 */
final class CallRateLimiter {

	private double callsPerSecond;

	private double availableCalls;

	private long lastRefillNanos;

	CallRateLimiter(double perSecond, long nowNanos) {
		this.callsPerSecond = perSecond;
		this.availableCalls = perSecond;
		this.lastRefillNanos = nowNanos;
	}

	synchronized void setRate(double callsPerSecond) {
		this.callsPerSecond = callsPerSecond;
		this.availableCalls = Math.min(this.availableCalls, callsPerSecond);
	}

	/**
	 * Takes one call from the bucket.
	 * @return whether the call is within the rate
	 */
	synchronized boolean tryAcquire(long nowNanos) {
		this.availableCalls = Math.min(this.callsPerSecond,
				this.availableCalls + (nowNanos - this.lastRefillNanos) / 1e9 * this.callsPerSecond);
		this.lastRefillNanos = nowNanos;
		if (this.availableCalls < 1) {
			return false;
		}
		this.availableCalls--;
		return true;
	}

}
