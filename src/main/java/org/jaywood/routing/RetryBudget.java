package org.jaywood.routing;

/**
 * Bounds retries to a share of the traffic, so that a failing installation does not
 * receive several times its load. A small floor lets a quiet router retry at all.
 */
public final class RetryBudget {

	private final double retriesPerCall;

	private double floorPerSecond;

	private double capacity;

	private double tokens;

	/**
	 * Part of a retry that calls have earned beyond a capacity of less than one. Without
	 * it, a gateway among very many could never retry.
	 */
	private double overflowTokens;

	private long refilledMillis;

	public RetryBudget(double retriesPerCall, double floorPerSecond, double capacity, long nowMillis) {
		this.retriesPerCall = retriesPerCall;
		this.floorPerSecond = floorPerSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.refilledMillis = nowMillis;
	}

	/**
	 * A budget of a process that has just started. It holds one retry at the most, as an
	 * advance on its floor: a full one would let processes that restart spend their
	 * bursts twice within a window.
	 */
	static RetryBudget forNewProcess(double retriesPerCall, double floorPerSecond, double capacity, long nowMillis) {
		RetryBudget budget = new RetryBudget(retriesPerCall, floorPerSecond, capacity, nowMillis);
		budget.tokens = Math.min(1, capacity);
		budget.refilledMillis = nowMillis
				+ ((floorPerSecond > 0) ? Math.round(1_000 * budget.tokens / floorPerSecond) : 0);
		return budget;
	}

	/**
	 * Changes the part that does not depend on calls. What is left above a smaller
	 * capacity is lost; a larger one fills with time.
	 */
	public synchronized void resize(double latestFloorPerSecond, double latestCapacity) {
		this.floorPerSecond = latestFloorPerSecond;
		this.capacity = latestCapacity;
		this.tokens = Math.min(this.tokens, latestCapacity);
		this.overflowTokens = Math.min(this.overflowTokens, overflowCapacity());
	}

	/**
	 * Notes a call, which earns a share of a retry.
	 */
	public synchronized void recordCall() {
		double total = this.tokens + this.retriesPerCall;
		this.tokens = Math.min(this.capacity, total);
		this.overflowTokens = Math.min(overflowCapacity(), this.overflowTokens + total - this.tokens);
	}

	/**
	 * Takes one retry out of the budget.
	 * @param nowMillis present time
	 * @return whether a retry is allowed
	 */
	public synchronized boolean tryAcquire(long nowMillis) {
		if (nowMillis > this.refilledMillis) {
			double earned = (nowMillis - this.refilledMillis) * this.floorPerSecond / 1_000;
			this.tokens = Math.min(this.capacity, this.tokens + earned);
			this.refilledMillis = nowMillis;
		}
		if (this.tokens + this.overflowTokens < 1) {
			return false;
		}
		double fromOverflow = Math.min(1, this.overflowTokens);
		this.overflowTokens -= fromOverflow;
		this.tokens -= 1 - fromOverflow;
		return true;
	}

	/**
	 * Gives back a retry that was taken and not sent.
	 */
	public synchronized void refund() {
		this.tokens = Math.min(Math.max(1, this.capacity), this.tokens + 1);
	}

	private double overflowCapacity() {
		return (this.capacity < 1) ? 1 : 0;
	}

}
