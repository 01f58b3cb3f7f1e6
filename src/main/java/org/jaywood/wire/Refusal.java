package org.jaywood.wire;

/**
 * Body of an agent's refusal of a call. The upstream never received the call.
 *
 * @param refusal the reason
 * @param retryAfterMillis time after which a retry may succeed, 0 if unknown
 */
public record Refusal(RefusalReason refusal, long retryAfterMillis) {
}
