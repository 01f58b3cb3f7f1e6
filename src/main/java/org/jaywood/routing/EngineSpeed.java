package org.jaywood.routing;

/**
 * Measured slowness of one engine: the time that it takes for the steps of this gateway's
 * calls, relative to what is usual at its service. Each step counts by its duration, so
 * that the figure is a mean over time: a period of 300 ms changes it little, and 3 s of
 * slowness show. Safe for use by several threads.
 */
final class EngineSpeed {

	/** Time over which the mean is taken. */
	private static final double MEAN_MILLIS = 3_000;

	/**
	 * Weight of the assumption that an engine is as fast as usual, as the time of steps
	 * that outweigh it. The first steps of an engine hardly move its figure.
	 */
	private static final double PRIOR_MILLIS = 1_000;

	/** Steps that have to be observed before an engine is compared with others. */
	private static final double MIN_OBSERVED_MILLIS = 1_500;

	/**
	 * Time over which a figure is forgotten while no call shows the speed, so that an
	 * engine that was slow is tried again.
	 */
	private static final double FORGETTING_MILLIS = 15_000;

	/**
	 * Largest factor of one step. A period in which an engine stands still is one long
	 * step.
	 */
	private static final double MAX_FACTOR = 6;

	/** Longest time of one step that counts. */
	private static final double MAX_STEP_MILLIS = 1_000;

	private double logSum;

	private double observedMillis;

	private long updatedMillis = Long.MIN_VALUE / 2;

	/**
	 * Records a step of a call.
	 * @param millis time that it took
	 * @param usualMillis time that it usually takes
	 */
	void onStep(double millis, double usualMillis, long nowMillis) {
		onStep(millis, usualMillis, 1, nowMillis);
	}

	/**
	 * Records a step of a call.
	 * @param millis time that it took
	 * @param usualMillis time that it usually takes
	 * @param share share of its weight
	 */
	synchronized void onStep(double millis, double usualMillis, double share, long nowMillis) {
		double factor = Math.clamp(millis / Math.max(1, usualMillis), 1 / MAX_FACTOR, MAX_FACTOR);
		double weight = share * Math.min(Math.max(millis, usualMillis), MAX_STEP_MILLIS);
		double kept = Math.exp(-Math.max(0, nowMillis - this.updatedMillis) / MEAN_MILLIS);
		this.logSum = this.logSum * kept + weight * Math.log(factor);
		this.observedMillis = this.observedMillis * kept + weight;
		this.updatedMillis = Math.max(this.updatedMillis, nowMillis);
	}

	/**
	 * Returns the logarithm of the slowness, 0 for an engine that is as fast as usual or
	 * not known.
	 */
	synchronized double logSlowness(long nowMillis) {
		double remembered = Math.exp(-Math.max(0, nowMillis - this.updatedMillis) / FORGETTING_MILLIS);
		return remembered * this.logSum / (this.observedMillis + PRIOR_MILLIS);
	}

	/**
	 * Returns the factor on the usual times.
	 */
	double slowness(long nowMillis) {
		return Math.exp(logSlowness(nowMillis));
	}

	synchronized boolean known() {
		return this.observedMillis >= MIN_OBSERVED_MILLIS;
	}

	synchronized long silenceMillis(long nowMillis) {
		return nowMillis - this.updatedMillis;
	}

}
