package org.jaywood.gateway;

/**
 * Detects recent stalls of this process by late ticks. After a stall, everything that
 * arrived meanwhile is read at once: calls, and the end of the connections of callers who
 * have left. Safe for use by several threads.
 */
final class StallDetector {

	/** Time without a tick that counts as a stall. */
	private static final long STALL_MILLIS = 250;

	/** Time after a stall in which its backlog is read. */
	private static final long BACKLOG_MILLIS = 3_000;

	private long lastTickMillis = Long.MAX_VALUE;

	private long lastStallMillis = Long.MIN_VALUE / 2;

	synchronized void tick(long nowMillis) {
		if (nowMillis - this.lastTickMillis >= STALL_MILLIS) {
			this.lastStallMillis = nowMillis;
		}
		this.lastTickMillis = nowMillis;
	}

	/**
	 * Whether a call that is read now may have arrived during a stall.
	 */
	synchronized boolean recentlyStalled(long nowMillis) {
		return nowMillis - this.lastTickMillis >= STALL_MILLIS || nowMillis - this.lastStallMillis < BACKLOG_MILLIS;
	}

}
