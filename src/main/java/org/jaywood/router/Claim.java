package org.jaywood.router;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Frame;

/**
 * Record of a call with an idempotency key in the store. It is written before each
 * attempt and names it, so that any router can determine the result of the call.
 *
 * @param writeId random id of this write, by which the writer recognises it
 * @param payload digest of method, path and body
 * @param handOver the only attempt that may have run the call
 * @param finished whether the call was answered
 * @param head status of the answer if finished
 * @param body body of the answer if finished and stored
 */
record Claim(String writeId, String payload, CallAttempt handOver, boolean finished, Frame.@Nullable Head head,
		byte @Nullable [] body) {

	/**
	 * An object in the store may have up to a megabyte, but each keyed answer costs a
	 * write of its size.
	 */
	static final int MAX_STORED_BODY_BYTES = 64 * 1024;

}
