package org.jaywood.metering;

import org.jaywood.leader.CloudResponse;

/**
 * Window whose total no longer changes, and how far its report is.
 */
final class SealedWindow {

	private static final long MIN_BACKOFF_MILLIS = 250;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	private final UsageReport report;

	private Status status;

	private long retryMillis = Long.MIN_VALUE;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates a sealed window.
	 */
	SealedWindow(UsageReport report, Status status) {
		this.report = report;
		this.status = status;
	}

	UsageReport report() {
		return this.report;
	}

	/**
	 * Whether the store has acknowledged the total, before which it must not be sent.
	 */
	boolean saved() {
		return this.status != Status.SEALED;
	}

	void markSaved() {
		this.status = saved() ? this.status : Status.SAVED;
	}

	boolean accepted() {
		return this.status == Status.ACCEPTED;
	}

	void markAccepted() {
		this.status = Status.ACCEPTED;
	}

	/**
	 * Whether the total must not be sent, since another one may have been.
	 */
	boolean withheld() {
		return this.status == Status.WITHHELD;
	}

	void withhold() {
		this.status = accepted() ? this.status : Status.WITHHELD;
	}

	boolean mayBeSent(long nowMillis) {
		return this.status == Status.SAVED && nowMillis >= this.retryMillis;
	}

	/**
	 * Takes in the response to the report.
	 */
	void onResponse(CloudResponse response, long nowMillis) {
		if (response instanceof CloudResponse.Accepted) {
			markAccepted();
			return;
		}
		this.retryMillis = nowMillis + this.backoffMillis;
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * this.backoffMillis);
	}

	/**
	 * State of the report of a window.
	 */
	enum Status {

		/** The store has not acknowledged the total. */
		SEALED,

		/** The store has the total, which may be sent. */
		SAVED,

		/** The platform has accepted the report. */
		ACCEPTED,

		/** Leaders have saved different totals, so that none is sent. */
		WITHHELD

	}

}
