package org.jaywood.gateway;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * What a gateway adds to a call that it hands over.
 *
 * @param upstreamId the only incarnation that may run the call
 * @param weights the only version of the weights that may run it, if that matters
 * @param remainingMillis time that is left for it
 * @param workspace workspace of the caller, or null if the route needs no key
 * @param queuePriority rank in the queue of the upstream, 0 first, 9 last
 * @param lastEventId id of the last event that the caller has, or null to keep what the
 * caller sent
 */
public record AttemptHeaders(String upstreamId, OptionalLong weights, long remainingMillis, @Nullable String workspace,
		int queuePriority, @Nullable String lastEventId) {
}
