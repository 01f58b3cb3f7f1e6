package org.jaywood.wire;

/**
 * Lets an agent send more of a stream. The grant is a total, so a repeated or late grant
 * does no harm.
 *
 * @param requestId id of the call
 * @param attempt number of the hand-over
 * @param grantedBytes bytes of frames that the agent may have sent in all
 */
public record CreditGrant(String requestId, long attempt, long grantedBytes) {

	/** Bytes that an agent may send before the first grant. */
	public static final int INITIAL_CREDIT_BYTES = 8 * 1024;

}
