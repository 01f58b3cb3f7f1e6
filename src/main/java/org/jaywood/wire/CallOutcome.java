package org.jaywood.wire;

/**
 * What a caller is told about a call.
 */
public enum CallOutcome {

	/** The whole answer was delivered. */
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
