package org.jaywood.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Headers of an upstream's response that the gateway evaluates, decoded by the protocol.
 *
 * @param callId id of the call that the response belongs to, or null if it has none
 * @param notRun whether the upstream states that it has not run the call and never will
 * @param misdirected whether another incarnation responds, or one with other weights
 */
public record ResponseHead(@Nullable String callId, boolean notRun, boolean misdirected) {
}
