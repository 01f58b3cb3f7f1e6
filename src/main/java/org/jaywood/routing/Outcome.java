package org.jaywood.routing;

/**
 * Result of a call at an upstream, as far as it says something about the upstream.
 */
public enum Outcome {

	/** The upstream answered. */
	ANSWERED,

	/** The upstream answered that it failed. */
	FAILED,

	/** The upstream did not run the call because it has no free capacity. */
	REFUSED,

	/** The connection cannot be opened. */
	UNREACHABLE,

	/** The connection broke or became silent before the answer was complete. */
	INDETERMINATE,

	/** Another incarnation has the address, or it serves other weights than expected. */
	MISDIRECTED,

	/** The gateway or the caller ended the call. */
	CANCELLED;

	/**
	 * Whether the upstream has responded.
	 */
	boolean responded() {
		return this == ANSWERED || this == FAILED || this == REFUSED || this == MISDIRECTED;
	}

}
