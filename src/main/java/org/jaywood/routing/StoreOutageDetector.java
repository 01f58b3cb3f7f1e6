package org.jaywood.routing;

/**
 * Tells an outage of the store, which nobody reaches, from a loss of contact of this
 * gateway alone: all agents say that they heard nothing of the store through any gateway.
 * It answers the load of a version that is named around an outage: the engines cannot
 * have it when its time is up, and while the store is away that time does not run. Not
 * safe for use by several threads.
 */
final class StoreOutageDetector {

	/** Agents say so this much later, since they were informed shortly before. */
	private static final long DETECTION_DELAY_MILLIS = 3_000;

	/** Agents that have just started, or have changed their gateway, say so for less. */
	private static final long MIN_OUTAGE_MILLIS = 1_000;

	private long noContactSinceMillis = Long.MAX_VALUE;

	private long outageStartMillis = Long.MIN_VALUE;

	private long outageEndMillis = Long.MIN_VALUE;

	/**
	 * Notes the report of an agent.
	 * @param hasStoreContact whether the agent lately heard of the store
	 */
	void onReport(boolean hasStoreContact, long nowMillis) {
		if (hasStoreContact) {
			this.noContactSinceMillis = Long.MAX_VALUE;
			return;
		}
		this.noContactSinceMillis = Math.min(this.noContactSinceMillis, nowMillis);
		if (nowMillis - this.noContactSinceMillis >= MIN_OUTAGE_MILLIS) {
			this.outageStartMillis = this.noContactSinceMillis - DETECTION_DELAY_MILLIS;
			this.outageEndMillis = nowMillis;
		}
	}

	/**
	 * Time from which the time of a naming counts: that of the naming, or the end of the
	 * latest outage if the time was not up before.
	 * @param learnedMillis time of the naming
	 * @param graceMillis time that a naming gives
	 */
	long graceStartMillis(long learnedMillis, long graceMillis) {
		boolean elapsedBefore = learnedMillis + graceMillis <= this.outageStartMillis;
		return elapsedBefore ? learnedMillis : Math.max(learnedMillis, this.outageEndMillis);
	}

}
