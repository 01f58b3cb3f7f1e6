package org.jaywood.routing;

/**
 * Time for which the reports of one agent are in transit, in excess of the fastest one of
 * the last minutes. The clocks of two VMs differ by an unknown offset, so the fastest
 * report is taken as one that was not queued on the path. Reports that arrive late reveal
 * a narrow or congested link even if they arrive as often as before. Not safe for use by
 * several threads.
 */
final class ReportDelay {

	/**
	 * Length of a window. Only the present and the previous one count for the fastest
	 * report, since clocks drift.
	 */
	private static final long WINDOW_MILLIS = 300_000;

	/** A longer delay means that the clock of the agent was reset. */
	private static final long MAX_DELAY_MILLIS = 10_000;

	private long windowStartMillis = Long.MIN_VALUE;

	private long previousMinOffsetMillis = Long.MAX_VALUE;

	private long minOffsetMillis = Long.MAX_VALUE;

	private long delayMillis;

	/**
	 * Records a report.
	 * @param sentMillis time at which it was sent, by the clock of the agent
	 * @param nowMillis time of its arrival, by the clock of this process
	 */
	void onReport(long sentMillis, long nowMillis) {
		long offsetMillis = nowMillis - sentMillis;
		if (this.windowStartMillis == Long.MIN_VALUE || nowMillis - this.windowStartMillis > WINDOW_MILLIS) {
			this.windowStartMillis = nowMillis;
			this.previousMinOffsetMillis = this.minOffsetMillis;
			this.minOffsetMillis = offsetMillis;
		}
		this.minOffsetMillis = Math.min(this.minOffsetMillis, offsetMillis);
		if (offsetMillis - Math.min(this.minOffsetMillis, this.previousMinOffsetMillis) > MAX_DELAY_MILLIS) {
			this.previousMinOffsetMillis = offsetMillis;
			this.minOffsetMillis = offsetMillis;
		}
		this.delayMillis = offsetMillis - Math.min(this.minOffsetMillis, this.previousMinOffsetMillis);
	}

	/**
	 * Returns the delay of the latest report, 0 before the first one.
	 */
	long millis() {
		return this.delayMillis;
	}

}
