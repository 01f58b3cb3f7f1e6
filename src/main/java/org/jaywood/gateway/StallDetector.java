package org.jaywood.gateway;

/**
 * Tells whether this process lately did not run for a while, by the lateness of its
 * ticks. What arrived meanwhile is read all at once then, calls and the leaving of their
 * callers alike. Safe for use by several threads.
 */
final class StallDetector {

	/** Time without a tick that counts as a stall. */
	private static final long STALL_MILLIS = 250;

	/** Time after a stall in which its backlog may still be read. */
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
	 * Whether a call that is read now may have waited through a stall.
	 */
	synchronized boolean recentlyStalled(long nowMillis) {
		return nowMillis - this.lastTickMillis >= STALL_MILLIS || nowMillis - this.lastStallMillis < BACKLOG_MILLIS;
	}

}
