package org.jaywood.gateway;

/**
 * Records the last stall of this process. After a stall, data that is read from a
 * connection may be as old as the stall is long. Not safe for use by several threads.
 */
final class StallHistory {

	/** Time without a tick that counts as a stall; ticks are much more frequent. */
	private static final long STALL_MILLIS = 500;

	/** Time after a stall in which its backlog is read. */
	private static final long BACKLOG_MILLIS = 1_500;

	private long lastTickMillis = Long.MIN_VALUE;

	private long stallStartMillis = Long.MIN_VALUE;

	private long stallEndMillis = Long.MIN_VALUE;

	/**
	 * Records a tick.
	 * @return length of the stall that has just ended, 0 if there was none
	 */
	long onTick(long nowMillis) {
		long stallMillis = 0;
		if (stalled(nowMillis)) {
			stallMillis = nowMillis - this.lastTickMillis;
			this.stallStartMillis = this.lastTickMillis;
			this.stallEndMillis = nowMillis;
		}
		this.lastTickMillis = nowMillis;
		return stallMillis;
	}

	/**
	 * Returns the earliest time at which data that is read now may have been sent: now,
	 * or the start of a stall that has just ended.
	 */
	long earliestSentMillis(long nowMillis) {
		if (stalled(nowMillis)) {
			return this.lastTickMillis;
		}
		boolean readingBacklog = this.stallEndMillis != Long.MIN_VALUE
				&& nowMillis - this.stallEndMillis < BACKLOG_MILLIS;
		return readingBacklog ? this.stallStartMillis : nowMillis;
	}

	private boolean stalled(long nowMillis) {
		return this.lastTickMillis != Long.MIN_VALUE && nowMillis - this.lastTickMillis > STALL_MILLIS;
	}

}
