package org.jaywood.wire;

/**
 * Cancels a call whose answer the caller no longer needs.
 *
 * @param requestId id of the call
 * @param attempt number of the attempt
 */
public record CancelRequest(String requestId, long attempt) {
}
