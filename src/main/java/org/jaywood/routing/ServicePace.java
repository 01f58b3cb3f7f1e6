package org.jaywood.routing;

/**
 * Pace at which the upstreams of one service usually answer, and the silence beyond which
 * an attempt there has gone quiet. Not safe for use by several threads.
 */
final class ServicePace {

	private static final double INITIAL_FIRST_DELAY_MILLIS = 150;

	private static final double INITIAL_GAP_MILLIS = 50;

	/** Multiple of the usual time to the first progress that is a silence. */
	private static final double FIRST_DELAY_FACTOR = 4;

	/** Multiple of the usual time between two events that is a silence. */
	private static final double GAP_FACTOR = 8;

	/** Shortest silence; an engine that prefills a prompt pauses its streams. */
	static final long MIN_SILENCE_MILLIS = 300;

	/** Longest silence; an answer that does not go on for so long is late in any case. */
	private static final long MAX_SILENCE_MILLIS = 1_000;

	private final UsualDelay firstDelay = new UsualDelay(INITIAL_FIRST_DELAY_MILLIS);

	private final UsualDelay gap = new UsualDelay(INITIAL_GAP_MILLIS);

	/**
	 * Records an attempt that has ended.
	 */
	void onEnd(AttemptActivity attempt) {
		if (!attempt.begun()) {
			return;
		}
		this.firstDelay.record(attempt.firstDelayMillis());
		if (attempt.meanGapMillis() > 0) {
			this.gap.record(attempt.meanGapMillis());
		}
	}

	/**
	 * Returns the silence in milliseconds from which an attempt has gone quiet.
	 * @param mayQueue whether an attempt that has not begun may wait in a queue
	 */
	long silenceMillis(AttemptActivity attempt, boolean mayQueue) {
		if (!attempt.begun() && mayQueue) {
			return MAX_SILENCE_MILLIS;
		}
		double usualMillis = attempt.begun() ? GAP_FACTOR * this.gap.millis()
				: FIRST_DELAY_FACTOR * this.firstDelay.millis();
		return Math.clamp(Math.round(usualMillis), MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS);
	}

}
