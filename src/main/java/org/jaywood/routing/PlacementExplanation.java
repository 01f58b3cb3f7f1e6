package org.jaywood.routing;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * How a call arriving now would be handled.
 *
 * @param refusal why it would be refused at once, or null if it would not
 * @param upstream id of the upstream on which it would be placed at once, or null if it
 * would be queued or refused
 * @param spillover whether and why it would leave the data centre, or null if it would
 * not be placed at once
 * @param queuedAhead queued calls that are likely to be placed before it
 * @param queuedCalls queued calls of the service
 * @param heldBackSlots free capacity for each gateway that is left to more urgent calls
 * @param retryAfterMillis time after which its caller would be told to come back if it
 * were refused now
 * @param upstreams the upstreams of the service, by id
 */
public record PlacementExplanation(@Nullable PlacementRefusal refusal, @Nullable String upstream,
		@Nullable SpilloverReason spillover, int queuedAhead, int queuedCalls, double heldBackSlots,
		long retryAfterMillis, List<UpstreamExplanation> upstreams) {
}
