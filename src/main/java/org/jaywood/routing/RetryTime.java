package org.jaywood.routing;

/**
 * Time after which a refused caller is told to come back: the time in which the queued
 * calls are expected to end. Not safe for use by several threads.
 */
final class RetryTime {

	/** A caller that retries earlier is likely to meet the same overload. */
	private static final long MIN_RETRY_AFTER_MILLIS = 700;

	/** Range over which the retries of callers that are refused together are spread. */
	private static final int SPREAD_MILLIS = 600;

	private final CompletionRate completionRate = new CompletionRate();

	void onEnd(Outcome outcome, long nowMillis) {
		if (outcome == Outcome.ANSWERED) {
			this.completionRate.recordCompletion(nowMillis);
		}
	}

	/**
	 * Returns the time in milliseconds.
	 * @param queued number of queued calls
	 */
	long millis(CallRequirements requirements, int queued, long nowMillis) {
		long byRateMillis = this.completionRate.retryAfterMillis(queued + 1, nowMillis);
		return Math.max(MIN_RETRY_AFTER_MILLIS, byRateMillis)
				+ Math.floorMod(requirements.callId().hashCode(), SPREAD_MILLIS);
	}

}
