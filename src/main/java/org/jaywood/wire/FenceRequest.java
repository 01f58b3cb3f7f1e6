package org.jaywood.wire;

/**
 * Asks an agent for the state of an attempt, and voids the attempt if it was not
 * admitted.
 *
 * @param router incarnation of the router that sent the attempt
 * @param attempt number of the attempt between this router and agent incarnation
 * @param expectedIncarnation incarnation of the agent to which the attempt was addressed
 * @param requestId id of the call
 */
public record FenceRequest(String router, long attempt, String expectedIncarnation, String requestId) {
}
