package org.jaywood.wire;

/**
 * Body of an agent's refusal of an attempt. {@link RefusalReason#provesNotRun} tells
 * whether the upstream can have received the same attempt earlier.
 *
 * @param refusal the reason
 * @param retryAfterMillis time after which a retry may succeed, 0 if unknown
 */
public record Refusal(RefusalReason refusal, long retryAfterMillis) {
}
