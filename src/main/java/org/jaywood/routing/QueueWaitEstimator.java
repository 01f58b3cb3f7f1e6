package org.jaywood.routing;

/**
 * Predicts how long a call of one service waits for a place: the calls ahead of it over
 * the rate at which waiting calls got places lately. It answers the load of an overload
 * that lasts: a call that would leave the queue without a place is refused when it
 * arrives, so that its caller loses no time and the queue is short for the others. Not
 * safe for use by several threads.
 */
final class QueueWaitEstimator {

	/** Long enough for some dozen calls, short enough to follow the loss of engines. */
	private static final double WINDOW_MILLIS = 2_000;

	private double placedCalls;

	private long lastPlacedMillis;

	private long firstPlacedMillis = Long.MIN_VALUE;

	/**
	 * Notes a call that got a place.
	 */
	void recordPlaced(long nowMillis) {
		if (this.firstPlacedMillis == Long.MIN_VALUE) {
			this.firstPlacedMillis = nowMillis;
		}
		this.placedCalls = decayedCalls(nowMillis) + 1;
		this.lastPlacedMillis = nowMillis;
	}

	/**
	 * Expected wait of a call, 0 while nothing is known.
	 * @param ahead calls that get places before it
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
