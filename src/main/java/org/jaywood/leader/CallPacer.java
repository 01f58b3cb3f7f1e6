package org.jaywood.leader;

/**
 * Spaces the calls of this process to the cloud API evenly, since the platform takes few
 * calls a second from all processes together. It answers the load of several leader tasks
 * that have calls to make at once. Thread-safe.
 */
public final class CallPacer {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final long intervalMillis;

	private long nextMillis = Long.MIN_VALUE;

	/**
	 * Creates a pacer.
	 * @param callsPerSecond most calls a second; no limit if it is not positive
	 */
	public CallPacer(double callsPerSecond) {
		this.intervalMillis = (callsPerSecond > 0) ? (long) Math.ceil(MILLIS_PER_SECOND / callsPerSecond) : 0;
	}

	/**
	 * Whether a call may be made now, which then counts.
	 */
	public synchronized boolean tryCall(long nowMillis) {
		if (nowMillis < this.nextMillis) {
			return false;
		}
		this.nextMillis = nowMillis + this.intervalMillis;
		return true;
	}

}
