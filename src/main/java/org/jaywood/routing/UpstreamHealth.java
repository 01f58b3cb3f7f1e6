package org.jaywood.routing;

/**
 * Recent results of the calls to one upstream. An upstream that cannot be reached, or
 * whose calls end without an answer in a row, is ejected for a time that doubles with
 * each ejection. The share of failed calls distinguishes an upstream that fails some of
 * its calls from a healthy one. Not safe for use by several threads.
 */
final class UpstreamHealth {

	private static final long FIRST_EJECTION_MILLIS = 250;

	private static final long MAX_EJECTION_MILLIS = 2_000;

	/** Calls in a row without an answer after which an upstream is ejected. */
	private static final int UNANSWERED_CALLS_BEFORE_EJECTION = 2;

	/** Backoff after a refusal; an upstream without capacity soon has some again. */
	private static final long REFUSED_BACKOFF_MILLIS = 60;

	/**
	 * Backoff in which the list of upstreams is likely to show the changed incarnation or
	 * weights.
	 */
	private static final long MISDIRECTED_BACKOFF_MILLIS = 400;

	/** Weight of the latest call in the share of failures. */
	private static final double SMOOTHING_FACTOR = 0.12;

	private int unansweredInRow;

	private long nextEjectionMillis = FIRST_EJECTION_MILLIS;

	private long ejectedUntilMillis = Long.MIN_VALUE;

	private double failureShare;

	/**
	 * Records the result of a call.
	 */
	void onOutcome(Outcome outcome, long nowMillis) {
		switch (outcome) {
			case ANSWERED -> onAnswer(false);
			case FAILED -> onAnswer(true);
			case UNREACHABLE -> onUnreachable(nowMillis);
			case INDETERMINATE -> onIndeterminate(nowMillis);
			case REFUSED -> ejectUntil(nowMillis + REFUSED_BACKOFF_MILLIS);
			case MISDIRECTED -> ejectUntil(nowMillis + MISDIRECTED_BACKOFF_MILLIS);
			case CANCELLED -> {
			}
		}
	}

	/**
	 * Records a call that the upstream answered.
	 * @param failed whether the answer is a failure of the upstream
	 */
	void onAnswer(boolean failed) {
		this.unansweredInRow = 0;
		this.nextEjectionMillis = FIRST_EJECTION_MILLIS;
		this.failureShare += SMOOTHING_FACTOR * ((failed ? 1 : 0) - this.failureShare);
	}

	/**
	 * Records a call that ended without an answer.
	 */
	void onIndeterminate(long nowMillis) {
		this.failureShare += SMOOTHING_FACTOR * (1 - this.failureShare);
		this.unansweredInRow++;
		if (this.unansweredInRow >= UNANSWERED_CALLS_BEFORE_EJECTION) {
			eject(nowMillis);
		}
	}

	/**
	 * Records that the upstream cannot be reached.
	 */
	void onUnreachable(long nowMillis) {
		this.unansweredInRow++;
		eject(nowMillis);
	}

	/**
	 * Ejects the upstream until a time, because it asked for a backoff or its agent does
	 * not reach it.
	 */
	void ejectUntil(long untilMillis) {
		this.ejectedUntilMillis = Math.max(this.ejectedUntilMillis, untilMillis);
	}

	boolean ejected(long nowMillis) {
		return nowMillis < this.ejectedUntilMillis;
	}

	/**
	 * Returns the time in milliseconds until the end of the ejection, 0 if there is none.
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
