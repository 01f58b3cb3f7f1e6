package org.jaywood.routing;

/**
 * Detects recent stalls of this process by late ticks. After a stall, everything that
 * arrived meanwhile is read at once: calls, and the end of the connections of callers who
 * have left. Safe for use by several threads.
 */
public final class StallDetector {

	/** Time without a tick that counts as a stall. */
	private static final long STALL_MILLIS = 250;

	/** Time after a stall in which its backlog is read. */
	private static final long BACKLOG_MILLIS = 3_000;

	private long lastTickMillis = Long.MAX_VALUE;

	private long lastStallMillis = Long.MIN_VALUE / 2;

	/**
	 * Records that this process runs.
	 */
	public synchronized void tick(long nowMillis) {
		if (nowMillis - this.lastTickMillis >= STALL_MILLIS) {
			this.lastStallMillis = nowMillis;
		}
		this.lastTickMillis = nowMillis;
	}

	/**
	 * Whether a call that is read now may have arrived during a stall.
	 */
	public synchronized boolean recentlyStalled(long nowMillis) {
		return nowMillis - this.lastTickMillis >= STALL_MILLIS || nowMillis - this.lastStallMillis < BACKLOG_MILLIS;
	}

	/**
	 * Whether ticks come in time, so that a silence of others is not one of this process.
	 */
	synchronized boolean ticking(long nowMillis) {
		return this.lastTickMillis != Long.MAX_VALUE && nowMillis - this.lastTickMillis < STALL_MILLIS;
	}

	/**
	 * Returns the end of the latest stall, long ago if there was none.
	 */
	synchronized long runningSinceMillis() {
		return this.lastStallMillis;
	}

}
