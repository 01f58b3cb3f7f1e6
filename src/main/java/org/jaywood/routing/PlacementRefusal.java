package org.jaywood.routing;

/**
 * Why a call that is allowed gets no placement.
 */
public enum PlacementRefusal {

	/** No upstream may run the call, or none had capacity in time. */
	NO_PLACE("no-place"),

	/** Limits leave no share for it in time. */
	RATE_LIMITED("rate-limited"),

	/** Its wait in the queue would be too long. */
	QUEUE_FULL("queue-full");

	private final String reason;

	PlacementRefusal(String text) {
		this.reason = text;
	}

	/**
	 * Returns the reason for the log and the caller.
	 */
	public String reason() {
		return this.reason;
	}

}
