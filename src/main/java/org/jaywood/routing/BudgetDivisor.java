package org.jaywood.routing;

import java.util.OptionalInt;

/**
 * Determines by how many gateways a budget that all gateways share is divided. A divisor
 * that is too small lets them exceed the budget together, so a reported number stays in
 * use for a while after it falls: during a network partition the agents on this side do
 * not count the gateways on the other side, which still spend their shares. After a start
 * few gateways have found the agents, so for one window the divisor is at least the
 * number assumed while none is reported. Not safe for use by several threads.
 */
final class BudgetDivisor {

	/** Number of gateways assumed while none is reported. */
	static final int UNKNOWN_GATEWAY_COUNT = 24;

	/**
	 * A reported number stays in use for at least this long and at most twice as long.
	 */
	private static final long MIN_RETENTION_MILLIS = 30_000;

	private final long windowMillis;

	private long firstReportedMillis = Long.MAX_VALUE;

	private final RecentMax recentCounts = new RecentMax(MIN_RETENTION_MILLIS);

	/**
	 * Creates a divisor without a reported number.
	 * @param windowMillis window to which the budget applies
	 */
	BudgetDivisor(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	/**
	 * Returns the number of gateways by which the budget is divided.
	 * @param reported number of gateways that agents report, empty while none does
	 * @param lastReported number of gateways last known
	 */
	int divisor(OptionalInt reported, int lastReported, long nowMillis) {
		reported.ifPresent((count) -> recordCount(count, nowMillis));
		boolean windowElapsed = reported.isPresent() && nowMillis - this.firstReportedMillis >= this.windowMillis;
		int maxReported = this.recentCounts.max();
		return windowElapsed ? maxReported : Math.max(maxReported, Math.max(UNKNOWN_GATEWAY_COUNT, lastReported));
	}

	private void recordCount(int count, long nowMillis) {
		if (this.firstReportedMillis == Long.MAX_VALUE) {
			this.firstReportedMillis = nowMillis;
		}
		this.recentCounts.record(count, nowMillis);
	}

}
