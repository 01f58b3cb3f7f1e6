package org.jaywood.routing;

/**
 * Estimates how long a call of one service is queued: the calls ahead of it divided by
 * the rate at which queued calls were recently placed. Designed for a lasting overload: a
 * call that would leave the queue unplaced is refused on arrival, so that its caller
 * loses no time and the queue is short for the others. Not safe for use by several
 * threads.
 */
final class QueueWaitEstimator {

	/**
	 * Long enough to contain some dozen calls, short enough to react to the loss of
	 * engines.
	 */
	private static final double WINDOW_MILLIS = 2_000;

	private double placedCalls;

	private long lastPlacedMillis;

	private long firstPlacedMillis = Long.MIN_VALUE;

	/**
	 * Records the placement of a queued call.
	 */
	void recordPlaced(long nowMillis) {
		if (this.firstPlacedMillis == Long.MIN_VALUE) {
			this.firstPlacedMillis = nowMillis;
		}
		this.placedCalls = decayedCalls(nowMillis) + 1;
		this.lastPlacedMillis = nowMillis;
	}

	/**
	 * Returns the expected wait of a call in milliseconds, 0 before the first placement.
	 * @param ahead calls that are placed before it
	 */
	double waitMillis(int ahead, long nowMillis) {
		if (this.firstPlacedMillis == Long.MIN_VALUE) {
			return 0;
		}
		// Until a window has passed, the count covers a part of it only.
		double coveredMillis = WINDOW_MILLIS
				* (1 - Math.exp(-Math.max(1, nowMillis - this.firstPlacedMillis) / WINDOW_MILLIS));
		return ahead * coveredMillis / Math.max(decayedCalls(nowMillis), Double.MIN_NORMAL);
	}

	private double decayedCalls(long nowMillis) {
		return this.placedCalls * Math.exp(-Math.max(0, nowMillis - this.lastPlacedMillis) / WINDOW_MILLIS);
	}

}
