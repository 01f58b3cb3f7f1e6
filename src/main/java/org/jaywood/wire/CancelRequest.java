package org.jaywood.wire;

/**
 * Ends a call whose answer is no longer wanted.
 *
 * @param requestId id of the call
 * @param attempt number of the hand-over
 */
public record CancelRequest(String requestId, long attempt) {
}
