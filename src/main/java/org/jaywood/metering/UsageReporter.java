package org.jaywood.metering;

/**
 * Decides when a gateway sends its counts to the leader, and when it writes them into the
 * store instead, because no leader can be reached. Used by one thread.
 */
public final class UsageReporter {

	/**
	 * Minimum interval between reports. Responses carry the latest counts of the leader;
	 * with ticks of 100 ms, at most half a second of them is lost if it is killed.
	 */
	private static final long REPORT_INTERVAL_MILLIS = 350;

	/** Time without a leader after which the counts are written into the store. */
	private static final long FALLBACK_AFTER_MILLIS = 1_000;

	private static final long FALLBACK_INTERVAL_MILLIS = 1_500;

	private long reportedMillis;

	private long reportedWindow;

	private long confirmedMillis;

	private long storedMillis;

	/**
	 * Creates a reporter.
	 * @param window present window
	 */
	public UsageReporter(long window, long nowMillis) {
		this.reportedWindow = window;
		this.reportedMillis = nowMillis;
		this.confirmedMillis = nowMillis;
		this.storedMillis = nowMillis;
	}

	/**
	 * Returns whether a report is due, and records it as sent. One is also due at the
	 * start of a window, so that another process soon has the final counts of the
	 * previous one.
	 * @param window present window
	 */
	public boolean takeReport(long window, long nowMillis) {
		boolean due = nowMillis - this.reportedMillis >= REPORT_INTERVAL_MILLIS || window > this.reportedWindow;
		if (due) {
			this.reportedWindow = window;
			this.reportedMillis = nowMillis;
		}
		return due;
	}

	/**
	 * Takes in that the leader has the counts.
	 */
	public void onConfirmed(long nowMillis) {
		this.confirmedMillis = nowMillis;
	}

	/**
	 * Whether the counts go into the store now, which then counts as done.
	 */
	public boolean takeFallback(long nowMillis) {
		boolean due = nowMillis - this.confirmedMillis >= FALLBACK_AFTER_MILLIS
				&& nowMillis - this.storedMillis >= FALLBACK_INTERVAL_MILLIS;
		if (due) {
			this.storedMillis = nowMillis;
		}
		return due;
	}

}
