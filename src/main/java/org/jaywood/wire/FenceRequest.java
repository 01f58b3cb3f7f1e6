package org.jaywood.wire;

/**
 * Asks an agent what became of a hand-over, and voids it if it was not admitted.
 *
 * @param router incarnation of the router that made the hand-over
 * @param attempt number of the hand-over between this router and agent incarnation
 * @param expectedIncarnation incarnation of the agent that the hand-over was meant for
 * @param requestId id of the call
 */
public record FenceRequest(String router, long attempt, String expectedIncarnation, String requestId) {
}
