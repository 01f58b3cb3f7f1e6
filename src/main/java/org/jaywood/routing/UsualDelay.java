package org.jaywood.routing;

/**
 * Estimate of the median of a delay. A few very long samples hardly change a median, so a
 * silence does not become usual by being observed. Not safe for use by several threads.
 */
final class UsualDelay {

	/** Factor by which a sample raises or lowers the estimate, unless given. */
	private static final double DEFAULT_STEP_FACTOR = 1.1;

	private static final double MIN_MILLIS = 1;

	private final double stepFactor;

	private double millis;

	/**
	 * Creates an estimate.
	 * @param initialMillis value before the first sample
	 */
	UsualDelay(double initialMillis) {
		this(initialMillis, DEFAULT_STEP_FACTOR);
	}

	/**
	 * Creates an estimate.
	 * @param initialMillis value before the first sample
	 * @param stepFactor factor by which a sample raises or lowers the estimate
	 */
	UsualDelay(double initialMillis, double stepFactor) {
		this.millis = initialMillis;
		this.stepFactor = stepFactor;
	}

	void record(double sampleMillis) {
		double raised = Math.min(sampleMillis, this.millis * this.stepFactor);
		double lowered = Math.max(sampleMillis, this.millis / this.stepFactor);
		this.millis = Math.max(MIN_MILLIS, (sampleMillis > this.millis) ? raised : lowered);
	}

	double millis() {
		return this.millis;
	}

}
