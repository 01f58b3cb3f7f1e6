package org.jaywood.metering;

/**
 * Division of the true time into windows.
 *
 * @param lengthMillis length of a window
 * @param dueMillis time after the end of a window at which its report is due
 */
public record UsageWindows(long lengthMillis, long dueMillis) {

	/** Windows that a process keeps at most. */
	static final int MAX_WINDOWS = 8;

	/** Workspaces that a process counts in one window at most. */
	static final int MAX_WORKSPACES = 4_096;

	/**
	 * Returns the window of a true time.
	 */
	public long windowAt(long trueMillis) {
		return Math.floorDiv(trueMillis, this.lengthMillis);
	}

	/**
	 * Returns the true time at which a window ends.
	 */
	long endMillis(long window) {
		return (window + 1) * this.lengthMillis;
	}

	/**
	 * Returns the true time at which the report of a window is due.
	 */
	long dueMillis(long window) {
		return endMillis(window) + this.dueMillis;
	}

}
