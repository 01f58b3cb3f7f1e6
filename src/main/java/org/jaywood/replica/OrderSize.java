package org.jaywood.replica;

/**
 * Number of layers that an engine is ordered to load at once: all, or as many as it reads
 * in time if it reads slowly. Not safe for use by several threads.
 */
final class OrderSize {

	/** Time for comparing the chunks of one order. */
	private static final long MAX_PASS_MILLIS = 700;

	/** Slow passes in a row after which the size falls; a suspension causes one. */
	private static final int MAX_SLOW_PASSES = 2;

	private int maxLayers = Integer.MAX_VALUE;

	private int slowPasses;

	/**
	 * Returns the largest number of layers for the next order.
	 */
	int maxLayers() {
		return this.maxLayers;
	}

	/**
	 * Records that the comparisons for an order took too long.
	 */
	void onTooSlow(LoadOrder order, StagingVerifier.Verification verification) {
		this.slowPasses = (verification.replacedCount() == 0) ? this.slowPasses + 1 : 0;
		if (this.slowPasses >= MAX_SLOW_PASSES) {
			this.slowPasses = 0;
			long layersInTime = order.layers() * MAX_PASS_MILLIS / Math.max(1, verification.passMillis());
			this.maxLayers = Math.clamp(layersInTime, 1, Math.max(1, order.layers() / 2));
		}
	}

	/**
	 * Records that the engine answered an order.
	 */
	void onAnswered(LoadOrder order) {
		this.slowPasses = 0;
		if (order.completesModel()) {
			this.maxLayers = Integer.MAX_VALUE;
		}
	}

}
