package org.jaywood.gateway;

/**
 * Tells how long this process has run without a pause. After one, what has waited in its
 * connections may be as old as the pause is long. Not safe for use by several threads.
 */
final class StallHistory {

	/** Ticks come much more often than this while the process runs. */
	private static final long STALL_MILLIS = 500;

	/** Time after a pause in which what arrived meanwhile is read. */
	private static final long BACKLOG_MILLIS = 1_500;

	private long lastTickMillis = Long.MIN_VALUE;

	private long stallStartMillis = Long.MIN_VALUE;

	private long stallEndMillis = Long.MIN_VALUE;

	/**
	 * Notes that the process runs.
	 * @return length of the pause that has just ended, 0 if there was none
	 */
	long onTick(long nowMillis) {
		long pauseMillis = 0;
		if (stalled(nowMillis)) {
			pauseMillis = nowMillis - this.lastTickMillis;
			this.stallStartMillis = this.lastTickMillis;
			this.stallEndMillis = nowMillis;
		}
		this.lastTickMillis = nowMillis;
		return pauseMillis;
	}

	/**
	 * Earliest time at which something that is read now may have been sent: now, or the
	 * begin of a pause that has just ended.
	 */
	long earliestSentMillis(long nowMillis) {
		if (stalled(nowMillis)) {
			return this.lastTickMillis;
		}
		boolean catchingUp = this.stallEndMillis != Long.MIN_VALUE && nowMillis - this.stallEndMillis < BACKLOG_MILLIS;
		return catchingUp ? this.stallStartMillis : nowMillis;
	}

	private boolean stalled(long nowMillis) {
		return this.lastTickMillis != Long.MIN_VALUE && nowMillis - this.lastTickMillis > STALL_MILLIS;
	}

}
