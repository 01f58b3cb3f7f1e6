package org.jaywood.routing;

/**
 * Bounds retries to a share of the traffic, so that a failing installation does not
 * receive several times its load. A small floor lets a quiet router retry at all.
 */
public final class RetryBudget {

	private final double share;

	private double floorPerSecond;

	private double capacity;

	private double tokens;

	private long refilledMillis;

	public RetryBudget(double share, double floorPerSecond, double capacity, long nowMillis) {
		this.share = share;
		this.floorPerSecond = floorPerSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.refilledMillis = nowMillis;
	}

	/**
	 * Changes the part that does not depend on calls. What is left above a smaller
	 * capacity is lost; a larger one fills with time.
	 */
	public synchronized void resize(double latestFloorPerSecond, double latestCapacity) {
		this.floorPerSecond = latestFloorPerSecond;
		this.capacity = latestCapacity;
		this.tokens = Math.min(this.tokens, latestCapacity);
	}

	/**
	 * Notes a call, which earns a share of a retry.
	 */
	public synchronized void recordCall() {
		this.tokens = Math.min(this.capacity, this.tokens + this.share);
	}

	/**
	 * Takes one retry out of the budget.
	 * @param nowMillis present time
	 * @return whether a retry is allowed
	 */
	public synchronized boolean tryTake(long nowMillis) {
		double earned = Math.max(0, nowMillis - this.refilledMillis) * this.floorPerSecond / 1_000;
		this.tokens = Math.min(this.capacity, this.tokens + earned);
		this.refilledMillis = nowMillis;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
