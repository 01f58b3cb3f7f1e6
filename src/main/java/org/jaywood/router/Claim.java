package org.jaywood.router;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Frame;

/**
 * Record of a call with an idempotency key, kept in the object API. It is written before
 * each hand-over and names it, so that any router can find out what became of the call.
 *
 * @param writeId random id of this write, by which its author recognises it
 * @param payload digest of method, path and body
 * @param handOver the only hand-over that may have run the call
 * @param finished whether the call was answered
 * @param head status of the answer if finished
 * @param body body of the answer if finished and kept
 */
record Claim(String writeId, String payload, CallAttempt handOver, boolean finished, Frame.@Nullable Head head,
		byte @Nullable [] body) {

	/**
	 * Objects hold up to a megabyte, but each keyed answer is written to the object API.
	 */
	static final int MAX_STORED_BODY_BYTES = 64 * 1024;

}
