package org.jaywood.routing;

/**
 * Limits retries to a share of the calls, so that a failing installation does not receive
 * several times its load. A small floor allows retries to a router that has few calls.
 */
public final class RetryBudget {

	private final double retriesPerCall;

	private double floorPerSecond;

	private double capacity;

	private double tokens;

	/**
	 * Part of a retry that calls have earned beyond a capacity of less than one. Without
	 * it, a gateway that is one of very many could never retry.
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
	 * Creates the budget of a process that has just started. It holds one retry at most,
	 * as an advance on its floor: a full one would let restarted processes spend their
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
	 * Changes floor and capacity. Retries above a smaller capacity are lost; a larger
	 * capacity fills over time.
	 */
	public synchronized void resize(double latestFloorPerSecond, double latestCapacity) {
		this.floorPerSecond = latestFloorPerSecond;
		this.capacity = latestCapacity;
		this.tokens = Math.min(this.tokens, latestCapacity);
		this.overflowTokens = Math.min(this.overflowTokens, overflowCapacity());
	}

	/**
	 * Records a call, which earns a fraction of a retry.
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
	 * Returns a retry to the budget that was taken but not sent.
	 */
	public synchronized void refund() {
		this.tokens = Math.min(Math.max(1, this.capacity), this.tokens + 1);
	}

	private double overflowCapacity() {
		return (this.capacity < 1) ? 1 : 0;
	}

}
