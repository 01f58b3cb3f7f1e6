package org.jaywood.metering;

/**
 * Decides when a gateway sends its counts to the leader, and when it writes them into the
 * store instead, because no leader can be reached. Used by one thread.
 */
public final class UsageReporter {

	/**
	 * Least time between two reports. Each response has the latest counts of the leader,
	 * which may be killed: with ticks of 100 ms, half a second of them is lost at most.
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
	 * Whether the counts go to the leader now, which then counts as tried. They do so
	 * right after the end of a window, too, so that the counts of that window are soon
	 * kept by more than one process.
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
