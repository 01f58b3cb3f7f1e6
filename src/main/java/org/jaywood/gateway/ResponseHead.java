package org.jaywood.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What the head of an upstream's answer says, decoded from the names of the protocol.
 *
 * @param callId id of the call that is answered, or null if the answer names none
 * @param notRun whether the upstream states that it has not run the call and never will
 * @param misdirected whether another incarnation answers, or one of other weights
 */
public record ResponseHead(@Nullable String callId, boolean notRun, boolean misdirected) {
}
