package org.jaywood.routing;

/**
 * Expected time for which a call holds its slot, learned from calls that ended: a
 * least-squares fit of the time for each prompt token and for each output token. Calls of
 * unknown size are expected to take the mean. Answers calls of very different size. Not
 * safe for use by several threads.
 */
final class SlotTimeEstimator {

	/** Weight of the past after another call; the fit covers the last 200 or so. */
	private static final double RETENTION = 0.995;

	/** Calls of known size before the fit is used. */
	private static final double MIN_SIZED_CALLS = 20;

	/** Limits of an expectation, as multiples of the mean. */
	private static final double MIN_MEANS = 0.1;

	private static final double MAX_MEANS = 20;

	private double calls;

	private double totalMillis;

	private double sizedCalls;

	private double promptSquares;

	private double outputSquares;

	private double products;

	private double promptMillis;

	private double outputMillis;

	/**
	 * Records a call that has ended.
	 * @param millis time for which it held its slot
	 */
	void record(CallCost cost, long millis) {
		this.calls = this.calls * RETENTION + 1;
		this.totalMillis = this.totalMillis * RETENTION + millis;
		if (cost.known()) {
			this.sizedCalls = this.sizedCalls * RETENTION + 1;
			this.promptSquares = this.promptSquares * RETENTION + square(cost.promptTokens());
			this.outputSquares = this.outputSquares * RETENTION + square(cost.maxOutputTokens());
			this.products = this.products * RETENTION + (double) cost.promptTokens() * cost.maxOutputTokens();
			this.promptMillis = this.promptMillis * RETENTION + (double) cost.promptTokens() * millis;
			this.outputMillis = this.outputMillis * RETENTION + (double) cost.maxOutputTokens() * millis;
		}
	}

	boolean known() {
		return this.calls > 0;
	}

	/**
	 * Returns the mean time in milliseconds, 1 while none is known.
	 */
	double meanMillis() {
		return known() ? Math.max(1, this.totalMillis / this.calls) : 1;
	}

	/**
	 * Returns the expected time of a call in milliseconds.
	 */
	double expectedMillis(CallCost cost) {
		double meanMillis = meanMillis();
		if (!cost.known() || this.sizedCalls < MIN_SIZED_CALLS) {
			return meanMillis;
		}
		double determinant = this.promptSquares * this.outputSquares - square(this.products);
		double perPrompt = (this.promptMillis * this.outputSquares - this.outputMillis * this.products) / determinant;
		double perOutput = (this.outputMillis * this.promptSquares - this.promptMillis * this.products) / determinant;
		// Sizes that rise and fall together do not tell which of them takes the time.
		if (!(determinant > 1e-6 * this.promptSquares * this.outputSquares) || perPrompt < 0) {
			perPrompt = 0;
			perOutput = this.outputMillis / this.outputSquares;
		}
		if (!(this.outputSquares > 0) || perOutput < 0) {
			perPrompt = this.promptMillis / this.promptSquares;
			perOutput = 0;
		}
		double millis = perPrompt * cost.promptTokens() + perOutput * cost.maxOutputTokens();
		return Math.clamp(millis, MIN_MEANS * meanMillis, MAX_MEANS * meanMillis);
	}

	private static double square(double value) {
		return value * value;
	}

}
