package org.jaywood.routing;

/**
 * Whether a call may run more than once.
 */
public enum RetryPolicy {

	/** Running it again changes nothing. */
	IDEMPOTENT,

	/** It may run once at most. */
	AT_MOST_ONCE,

	/** A stream of events that may be resumed after the last event received. */
	RESUMABLE_STREAM,

	/** A stream of events that may run once at most. */
	STREAM;

	/**
	 * Whether a call that may have run at one upstream may be sent to another.
	 */
	public boolean retryable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	public boolean streaming() {
		return this == STREAM || this == RESUMABLE_STREAM;
	}

}
