package org.jaywood.routing;

/**
 * Distinguishes an outage of the store from a loss of contact of this gateway alone: in
 * an outage all agents report that they have no store contact through any gateway.
 * Designed for a target version that is set around an outage: the engines cannot have it
 * at the end of its grace period, so the grace period does not run during the outage. Not
 * safe for use by several threads.
 */
final class StoreOutageDetector {

	/**
	 * Time after which agents report an outage, since they had store contact shortly
	 * before.
	 */
	private static final long DETECTION_DELAY_MILLIS = 3_000;

	/**
	 * Agents that have just started or changed their gateway report no contact for a
	 * shorter time.
	 */
	private static final long MIN_OUTAGE_MILLIS = 1_000;

	private long noContactSinceMillis = Long.MAX_VALUE;

	private long outageStartMillis = Long.MIN_VALUE;

	private long outageEndMillis = Long.MIN_VALUE;

	/**
	 * Records the report of an agent.
	 * @param hasStoreContact whether the agent has recent store contact
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
	 * Returns the start of the grace period of a target version: the time at which it was
	 * learned, or the end of the latest outage if the period had not ended before.
	 * @param learnedMillis time at which the target version was learned
	 * @param graceMillis length of the grace period
	 */
	long graceStartMillis(long learnedMillis, long graceMillis) {
		boolean elapsedBefore = learnedMillis + graceMillis <= this.outageStartMillis;
		return elapsedBefore ? learnedMillis : Math.max(learnedMillis, this.outageEndMillis);
	}

}
