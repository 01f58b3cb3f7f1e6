package org.jaywood.wire;

/**
 * Grants an agent credit to send more of a stream. The grant is a total, so a repeated or
 * late grant has no effect.
 *
 * @param requestId id of the call
 * @param attempt number of the attempt
 * @param grantedBytes total bytes of frames that the agent may send
 */
public record CreditGrant(String requestId, long attempt, long grantedBytes) {

	/** Bytes that an agent may send before the first grant. */
	public static final int INITIAL_CREDIT_BYTES = 8 * 1024;

}
