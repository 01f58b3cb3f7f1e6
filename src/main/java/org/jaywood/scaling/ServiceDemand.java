package org.jaywood.scaling;

/**
 * Message: demand for the engines of one service as one gateway sees it.
 *
 * @param service name of the service
 * @param running calls of this gateway that engines hold
 * @param waiting calls that wait for an engine
 * @param arrivalsPerSecond calls that arrived in the last second
 * @param refusedPerSecond calls that were refused for lack of capacity in the last second
 * @param slotMillis mean time for which a call holds an engine, 0 if none has ended
 */
public record ServiceDemand(String service, long running, long waiting, double arrivalsPerSecond,
		double refusedPerSecond, double slotMillis) {

	/** Longest time for which a call waits; more waiting calls cannot have arrived. */
	private static final double MAX_WAIT_SECONDS = 60;

	/** Calls that may have been counted in another second than their arrival. */
	private static final double COUNT_SLACK = 100;

	private static final double MAX_VALUE = 1e6;

	/**
	 * Whether the counts may be true: neither out of range nor in contradiction to each
	 * other.
	 */
	boolean plausible() {
		return inRange(this.running) && inRange(this.waiting) && inRange(this.arrivalsPerSecond)
				&& inRange(this.refusedPerSecond) && inRange(this.slotMillis)
				&& this.refusedPerSecond <= this.arrivalsPerSecond * MAX_WAIT_SECONDS + COUNT_SLACK
				&& this.waiting <= this.arrivalsPerSecond * MAX_WAIT_SECONDS + COUNT_SLACK;
	}

	private static boolean inRange(double value) {
		// False for a value that is no number.
		return value >= 0 && value <= MAX_VALUE;
	}

}
