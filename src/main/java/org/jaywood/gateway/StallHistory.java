package org.jaywood.gateway;

/**
 * Tells how long this process has run without a pause. After one, what has waited in its
 * connections may be as old as the pause is long. Not safe for use by several threads.
 */
final class StallHistory {

	/** Ticks come much more often than this while the process runs. */
	private static final long PAUSE_MILLIS = 500;

	/** Time after a pause in which what arrived meanwhile is read. */
	private static final long CATCH_UP_MILLIS = 1_500;

	private long tickMillis = Long.MIN_VALUE;

	private long pausedFromMillis = Long.MIN_VALUE;

	private long resumedMillis = Long.MIN_VALUE;

	/**
	 * Notes that the process runs.
	 * @return length of the pause that has just ended, 0 if there was none
	 */
	long onTick(long nowMillis) {
		long pauseMillis = 0;
		if (paused(nowMillis)) {
			pauseMillis = nowMillis - this.tickMillis;
			this.pausedFromMillis = this.tickMillis;
			this.resumedMillis = nowMillis;
		}
		this.tickMillis = nowMillis;
		return pauseMillis;
	}

	/**
	 * Earliest time at which something that is read now may have been sent: now, or the
	 * begin of a pause that has just ended.
	 */
	long earliestSentMillis(long nowMillis) {
		if (paused(nowMillis)) {
			return this.tickMillis;
		}
		boolean catchingUp = this.resumedMillis != Long.MIN_VALUE && nowMillis - this.resumedMillis < CATCH_UP_MILLIS;
		return catchingUp ? this.pausedFromMillis : nowMillis;
	}

	private boolean paused(long nowMillis) {
		return this.tickMillis != Long.MIN_VALUE && nowMillis - this.tickMillis > PAUSE_MILLIS;
	}

}
