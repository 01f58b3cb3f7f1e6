package org.jaywood.routing;

/**
 * Largest of the counts recorded in a while: at least in the last period, at most in the
 * last two before the latest count. Not safe for use by several threads.
 */
final class RecentMax {

	private final long periodMillis;

	private long periodStartMillis = Long.MIN_VALUE / 2;

	private int previousPeriodMax;

	private int currentPeriodMax;

	RecentMax(long periodMillis) {
		this.periodMillis = periodMillis;
	}

	void record(int count, long nowMillis) {
		if (nowMillis - this.periodStartMillis >= this.periodMillis) {
			this.periodStartMillis = nowMillis;
			this.previousPeriodMax = this.currentPeriodMax;
			this.currentPeriodMax = 0;
		}
		this.currentPeriodMax = Math.max(this.currentPeriodMax, count);
	}

	/**
	 * Returns the largest count, 0 if none was recorded.
	 */
	int max() {
		return Math.max(this.currentPeriodMax, this.previousPeriodMax);
	}

}
