package org.jaywood.wire;

/**
 * Grants an agent credit to send more of a stream. {@code grantedBytes} counts from the
 * start of the stream, so a grant that arrives twice or after a larger one has no effect.
 *
 * @param requestId id of the call
 * @param attempt number of the attempt
 * @param grantedBytes number of frame bytes that the agent may send in all, from the
 * start of the stream
 */
public record CreditGrant(String requestId, long attempt, long grantedBytes) {

	/** Bytes that an agent may send before the first grant. */
	public static final int INITIAL_CREDIT_BYTES = 8 * 1024;

}
