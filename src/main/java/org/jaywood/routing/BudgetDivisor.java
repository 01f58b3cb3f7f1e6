package org.jaywood.routing;

import java.util.OptionalInt;

/**
 * Number of gateways by which a budget of all gateways together is cut. A number that is
 * too small lets them exceed the whole, so what was told counts for a while after it
 * fell: gateways beyond a cut of the network are not counted by the agents on this side,
 * but spend their parts. After a start few gateways have found the agents, so the number
 * assumed while none is told stays the least one for a window. Not safe for use by
 * several threads.
 */
final class BudgetDivisor {

	/** Gateways that share a budget while their number is not known. */
	private static final int UNKNOWN_GATEWAY_COUNT = 24;

	/** A number counts for this long at least, twice as long at most. */
	private static final long MIN_RETENTION_MILLIS = 30_000;

	private final long windowMillis;

	private long firstReportedMillis = Long.MAX_VALUE;

	private long periodStartMillis;

	private int previousPeriodMax;

	private int currentPeriodMax;

	/**
	 * Creates a count that nothing was told to.
	 * @param windowMillis window in which the budget holds
	 */
	BudgetDivisor(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	/**
	 * Works the number out.
	 * @param reported number as the agents tell it, empty while none does
	 * @param lastReported number as last known
	 */
	int divisor(OptionalInt reported, int lastReported, long nowMillis) {
		reported.ifPresent((count) -> recordCount(count, nowMillis));
		boolean windowElapsed = reported.isPresent() && nowMillis - this.firstReportedMillis >= this.windowMillis;
		int maxReported = Math.max(this.currentPeriodMax, this.previousPeriodMax);
		return windowElapsed ? maxReported : Math.max(maxReported, Math.max(UNKNOWN_GATEWAY_COUNT, lastReported));
	}

	private void recordCount(int count, long nowMillis) {
		if (this.firstReportedMillis == Long.MAX_VALUE) {
			this.firstReportedMillis = nowMillis;
			this.periodStartMillis = nowMillis;
		}
		if (nowMillis - this.periodStartMillis >= MIN_RETENTION_MILLIS) {
			this.periodStartMillis = nowMillis;
			this.previousPeriodMax = this.currentPeriodMax;
			this.currentPeriodMax = 0;
		}
		this.currentPeriodMax = Math.max(this.currentPeriodMax, count);
	}

}
