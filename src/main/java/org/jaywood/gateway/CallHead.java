package org.jaywood.gateway;

import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a call says, decoded from the names of the protocol.
 *
 * @param callId id of this attempt of the caller
 * @param key key of the caller, or null
 * @param deadlineMillis time for which the caller waits, from the moment of sending
 */
public record CallHead(String callId, @Nullable String key, OptionalLong deadlineMillis) {
}
