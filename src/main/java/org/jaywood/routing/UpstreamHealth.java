package org.jaywood.routing;

/**
 * What calls to one upstream have met lately. An upstream that cannot be reached, or
 * whose calls break one after the other, is left out for a while that doubles each time.
 * The share of failed calls tells an upstream that fails part of its work from a sound
 * one. Not safe for use by several threads.
 */
final class UpstreamHealth {

	private static final long FIRST_EJECTION_MILLIS = 250;

	private static final long MAX_EJECTION_MILLIS = 2_000;

	/** Broken calls in a row after which an upstream is left out. */
	private static final int UNANSWERED_CALLS_BEFORE_EJECTION = 2;

	/** Weight of the latest call in the share of failures. */
	private static final double SMOOTHING_FACTOR = 0.12;

	private int unansweredInRow;

	private long nextEjectionMillis = FIRST_EJECTION_MILLIS;

	private long ejectedUntilMillis = Long.MIN_VALUE;

	private double failureShare;

	/**
	 * Notes a call that the upstream answered.
	 * @param failed whether the answer is a failure of the upstream
	 */
	void onAnswer(boolean failed) {
		this.unansweredInRow = 0;
		this.nextEjectionMillis = FIRST_EJECTION_MILLIS;
		this.failureShare += SMOOTHING_FACTOR * ((failed ? 1 : 0) - this.failureShare);
	}

	/**
	 * Notes a call that ended without an answer.
	 */
	void onIndeterminate(long nowMillis) {
		this.failureShare += SMOOTHING_FACTOR * (1 - this.failureShare);
		this.unansweredInRow++;
		if (this.unansweredInRow >= UNANSWERED_CALLS_BEFORE_EJECTION) {
			eject(nowMillis);
		}
	}

	/**
	 * Notes that the upstream cannot be reached.
	 */
	void onUnreachable(long nowMillis) {
		this.unansweredInRow++;
		eject(nowMillis);
	}

	/**
	 * Notes that the upstream asked for a pause, or that its agent does not reach it.
	 */
	void ejectUntil(long untilMillis) {
		this.ejectedUntilMillis = Math.max(this.ejectedUntilMillis, untilMillis);
	}

	boolean ejected(long nowMillis) {
		return nowMillis < this.ejectedUntilMillis;
	}

	/**
	 * Time until the end of the pause, or 0 if there is none.
	 */
	long ejectionLeftMillis(long nowMillis) {
		return ejected(nowMillis) ? this.ejectedUntilMillis - nowMillis : 0;
	}

	double failureShare() {
		return this.failureShare;
	}

	private void eject(long nowMillis) {
		if (!ejected(nowMillis)) {
			this.ejectedUntilMillis = nowMillis + this.nextEjectionMillis;
			this.nextEjectionMillis = Math.min(MAX_EJECTION_MILLIS, this.nextEjectionMillis * 2);
		}
	}

}
