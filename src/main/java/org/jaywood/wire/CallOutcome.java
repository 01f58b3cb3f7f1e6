package org.jaywood.wire;

/**
 * Outcome of a call as reported to its caller.
 */
public enum CallOutcome {

	/** The complete answer was delivered. */
	ANSWERED("answered"),

	/** No upstream ran the call and none will. */
	NOT_RUN("not-run"),

	/** An upstream may have run the call. */
	UNKNOWN("unknown");

	private final String headerValue;

	CallOutcome(String headerValue) {
		this.headerValue = headerValue;
	}

	public String headerValue() {
		return this.headerValue;
	}

}
