package org.jaywood.routing;

/**
 * Rate at which the calls of a service end, from which the retry time of a refused caller
 * is computed. Not safe for use by several threads.
 */
public final class CompletionRate {

	/**
	 * Long enough to contain a few calls of a slow service, short enough to react to a
	 * fault.
	 */
	private static final double WINDOW_MILLIS = 10_000;

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

	private static final long MIN_RETRY_AFTER_MILLIS = 100;

	private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

	private double completedCalls;

	private long lastCompletedMillis;

	public void recordCompletion(long nowMillis) {
		this.completedCalls = decayedCalls(nowMillis) + 1;
		this.lastCompletedMillis = nowMillis;
	}

	/**
	 * Returns the time in milliseconds in which a number of calls are expected to end, or
	 * a default while hardly any calls end.
	 * @param calls number of calls
	 * @param nowMillis present time
	 */
	public long retryAfterMillis(int calls, long nowMillis) {
		double perMilli = decayedCalls(nowMillis) / WINDOW_MILLIS;
		if (perMilli < 1 / WINDOW_MILLIS) {
			return DEFAULT_RETRY_AFTER_MILLIS;
		}
		return Math.clamp(Math.round(calls / perMilli), MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
	}

	private double decayedCalls(long nowMillis) {
		return this.completedCalls * Math.exp(-Math.max(0, nowMillis - this.lastCompletedMillis) / WINDOW_MILLIS);
	}

}
