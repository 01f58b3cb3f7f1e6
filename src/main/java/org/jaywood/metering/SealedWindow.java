package org.jaywood.metering;

import org.jaywood.leader.CloudResponse;

/**
 * Window whose total no longer changes, and how far its report is.
 */
final class SealedWindow {

	private static final long MIN_BACKOFF_MILLIS = 250;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	private final UsageReport report;

	private boolean saved;

	private boolean accepted;

	private long retryMillis = Long.MIN_VALUE;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates a sealed window.
	 * @param saved whether the store has it
	 */
	SealedWindow(UsageReport report, boolean saved, boolean accepted) {
		this.report = report;
		this.saved = saved;
		this.accepted = accepted;
	}

	UsageReport report() {
		return this.report;
	}

	/**
	 * Whether the store has acknowledged the total, before which it must not be sent.
	 */
	boolean saved() {
		return this.saved;
	}

	void markSaved() {
		this.saved = true;
	}

	boolean accepted() {
		return this.accepted;
	}

	void markAccepted() {
		this.accepted = true;
	}

	boolean mayBeSent(long nowMillis) {
		return this.saved && !this.accepted && nowMillis >= this.retryMillis;
	}

	/**
	 * Takes in the response to the report.
	 */
	void onResponse(CloudResponse response, long nowMillis) {
		if (response instanceof CloudResponse.Accepted) {
			this.accepted = true;
			return;
		}
		this.retryMillis = nowMillis + this.backoffMillis;
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * this.backoffMillis);
	}

}
