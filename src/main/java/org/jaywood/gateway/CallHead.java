package org.jaywood.gateway;

import java.util.OptionalLong;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.CallCost;

/**
 * Headers of a call that the gateway evaluates, decoded by the protocol.
 *
 * @param callId id that the caller gave this sending of the call
 * @param key key of the caller, or null
 * @param timeoutMillis time for which the caller waits, counted from sending
 * @param cost size of the call
 * @param sharedParts ids of the parts of the prompt that other prompts may share
 * @param lastEventId id of the event after which the caller resumes a stream, or null
 */
public record CallHead(String callId, @Nullable String key, OptionalLong timeoutMillis, CallCost cost,
		Set<String> sharedParts, @Nullable String lastEventId) {
}
