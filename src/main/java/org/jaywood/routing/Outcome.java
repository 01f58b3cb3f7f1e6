package org.jaywood.routing;

/**
 * How a call ended at an upstream, as far as it tells something about the upstream.
 */
public enum Outcome {

	/** The upstream answered. */
	ANSWERED,

	/** The upstream answered that it failed. */
	FAILED,

	/** The upstream did not run the call because it has no room. */
	REJECTED,

	/** The connection cannot be opened. */
	UNREACHABLE,

	/** The connection broke or fell silent. */
	BROKEN,

	/** Another incarnation has the address, or it serves other weights. */
	MISDIRECTED,

	/** The gateway or the caller ended the call. */
	CANCELLED

}
