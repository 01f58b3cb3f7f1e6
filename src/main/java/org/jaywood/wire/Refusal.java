package org.jaywood.wire;

/**
 * Body of an agent's refusal of a hand-over. Whether the upstream can have received the
 * same attempt earlier is told by {@link RefusalReason#provesNotRun}.
 *
 * @param refusal the reason
 * @param retryAfterMillis time after which a retry may succeed, 0 if unknown
 */
public record Refusal(RefusalReason refusal, long retryAfterMillis) {
}
