package org.jaywood.gateway;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * Values that a gateway adds to the headers of an attempt.
 *
 * @param upstreamId the only incarnation that may run the call
 * @param requiredVersion the only version of the weights that may run it, or empty for
 * any
 * @param remainingMillis time until the deadline of the call
 * @param workspace workspace of the caller, or null if the route needs no key
 * @param queuePriority priority in the queue of the upstream, 0 first, 9 last
 * @param lastEventId id of the last event that the caller has received, or null to keep
 * the id that the caller sent
 */
public record AttemptHeaders(String upstreamId, OptionalLong requiredVersion, long remainingMillis,
		@Nullable String workspace, int queuePriority, @Nullable String lastEventId) {
}
