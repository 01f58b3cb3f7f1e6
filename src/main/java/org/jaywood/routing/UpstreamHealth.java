package org.jaywood.routing;

/**
 * What calls to one upstream have met lately. An upstream that cannot be reached, or
 * whose calls break one after the other, is left out for a while that doubles each time.
 * The share of failed calls tells an upstream that fails part of its work from a sound
 * one. Not safe for use by several threads.
 */
final class UpstreamHealth {

	private static final long FIRST_PAUSE_MILLIS = 250;

	private static final long MAX_PAUSE_MILLIS = 2_000;

	/** Broken calls in a row after which an upstream is left out. */
	private static final int BREAKS_BEFORE_PAUSE = 2;

	/** Weight of the latest call in the share of failures. */
	private static final double SMOOTHING = 0.12;

	private int breaksInRow;

	private long pauseMillis = FIRST_PAUSE_MILLIS;

	private long pausedUntilMillis = Long.MIN_VALUE;

	private double failureShare;

	/**
	 * Notes a call that the upstream answered.
	 * @param failed whether the answer is a failure of the upstream
	 */
	void onAnswer(boolean failed) {
		this.breaksInRow = 0;
		this.pauseMillis = FIRST_PAUSE_MILLIS;
		this.failureShare += SMOOTHING * ((failed ? 1 : 0) - this.failureShare);
	}

	/**
	 * Notes a call that ended without an answer.
	 */
	void onBreak(long nowMillis) {
		this.failureShare += SMOOTHING * (1 - this.failureShare);
		this.breaksInRow++;
		if (this.breaksInRow >= BREAKS_BEFORE_PAUSE) {
			pause(nowMillis);
		}
	}

	/**
	 * Notes that the upstream cannot be reached.
	 */
	void onUnreachable(long nowMillis) {
		this.breaksInRow++;
		pause(nowMillis);
	}

	/**
	 * Notes that the upstream asked for a pause, or that its agent does not reach it.
	 */
	void ejectUntil(long untilMillis) {
		this.pausedUntilMillis = Math.max(this.pausedUntilMillis, untilMillis);
	}

	boolean ejected(long nowMillis) {
		return nowMillis < this.pausedUntilMillis;
	}

	/**
	 * Time until the end of the pause, or 0 if there is none.
	 */
	long ejectionLeftMillis(long nowMillis) {
		return ejected(nowMillis) ? this.pausedUntilMillis - nowMillis : 0;
	}

	double failureShare() {
		return this.failureShare;
	}

	private void pause(long nowMillis) {
		if (!ejected(nowMillis)) {
			this.pausedUntilMillis = nowMillis + this.pauseMillis;
			this.pauseMillis = Math.min(MAX_PAUSE_MILLIS, this.pauseMillis * 2);
		}
	}

}
