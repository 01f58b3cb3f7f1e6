package org.jaywood.routing;

/**
 * Limit on the calls that one gateway sends to one upstream within any span of time.
 *
 * @param lengthMillis length of the span
 * @param calls calls in it, at least 1
 * @param sinceMillis time after which calls count
 */
record SendWindow(long lengthMillis, int calls, long sinceMillis) {

	/**
	 * Creates a window in which all calls count.
	 */
	SendWindow(long lengthMillis, int calls) {
		this(lengthMillis, calls, Long.MIN_VALUE);
	}

	/**
	 * Returns the calls that may be sent in a period that begins when the window has room
	 * for one, 0 for a negative period.
	 */
	long callsWithin(long periodMillis) {
		return (periodMillis < 0) ? 0 : this.calls * (1 + periodMillis / this.lengthMillis);
	}

}
