package org.jaywood.routing;

/**
 * How long the reports of one agent are under way, beyond the fastest of the last
 * minutes. The clocks of two VMs differ by an unknown time, so the fastest report stands
 * for a path without a queue. Reports that come late show a narrow or crowded link
 * although they follow each other as often as ever. Not safe for use by several threads.
 */
final class ReportDelay {

	/** Time after which an old fastest report is forgotten, since clocks drift. */
	private static final long WINDOW_MILLIS = 300_000;

	/** A longer delay means that the clock of the agent was set anew. */
	private static final long MAX_DELAY_MILLIS = 10_000;

	private long windowStartMillis = Long.MIN_VALUE;

	private long previousMinOffsetMillis = Long.MAX_VALUE;

	private long minOffsetMillis = Long.MAX_VALUE;

	private long delayMillis;

	/**
	 * Notes a report.
	 * @param sentMillis time of its sending by the clock of the agent
	 * @param nowMillis time of its arrival by the clock of this process
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
	 * Delay of the latest report, 0 while there is none.
	 */
	long millis() {
		return this.delayMillis;
	}

}
