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
	private static final long REPORT_DELAY_MILLIS = 3_000;

	/** Agents that have just started, or have changed their gateway, say so for less. */
	private static final long LEAST_MILLIS = 1_000;

	private long silentSinceMillis = Long.MAX_VALUE;

	private long beganMillis = Long.MIN_VALUE;

	private long endedMillis = Long.MIN_VALUE;

	/**
	 * Notes the report of an agent.
	 * @param informed whether the agent lately heard of the store
	 */
	void onReport(boolean informed, long nowMillis) {
		if (informed) {
			this.silentSinceMillis = Long.MAX_VALUE;
			return;
		}
		this.silentSinceMillis = Math.min(this.silentSinceMillis, nowMillis);
		if (nowMillis - this.silentSinceMillis >= LEAST_MILLIS) {
			this.beganMillis = this.silentSinceMillis - REPORT_DELAY_MILLIS;
			this.endedMillis = nowMillis;
		}
	}

	/**
	 * Time from which the time of a naming counts: that of the naming, or the end of the
	 * latest outage if the time was not up before.
	 * @param learnedMillis time of the naming
	 * @param periodMillis time that a naming gives
	 */
	long graceStartMillis(long learnedMillis, long periodMillis) {
		boolean upBefore = learnedMillis + periodMillis <= this.beganMillis;
		return upBefore ? learnedMillis : Math.max(learnedMillis, this.endedMillis);
	}

}
