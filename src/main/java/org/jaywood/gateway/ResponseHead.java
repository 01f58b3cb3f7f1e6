package org.jaywood.gateway;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LimitNotice;

/**
 * Headers of an upstream's response that the gateway evaluates, decoded by the protocol.
 *
 * @param callId id of the call that the response belongs to, or null if it has none
 * @param notRun whether the upstream states that it has not run the call and never will
 * @param misdirected whether another incarnation responds, or one with other weights
 * @param leaving whether the upstream states that it leaves
 * @param pauseMillis time for which the upstream wants no calls, or empty
 * @param limit what the upstream states about the calls that it takes
 * @param problem what is wrong with these three headers, for the log, or null
 * @param invalidSuccess why this success cannot be the answer of the upstream, or null if
 * it can or the response is no success
 */
public record ResponseHead(@Nullable String callId, boolean notRun, boolean misdirected, boolean leaving,
		OptionalLong pauseMillis, LimitNotice limit, @Nullable String problem, @Nullable String invalidSuccess) {
}
