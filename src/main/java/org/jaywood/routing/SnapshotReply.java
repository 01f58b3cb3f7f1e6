package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Answer of a gateway to an agent that asks for the digest of its service.
 *
 * @param current whether the gateway reaches the store, so that what it says, or that it
 * has nothing new, is true now
 * @param digest the digest, or null if it is the one that the agent has
 */
public record SnapshotReply(boolean current, @Nullable ServiceSnapshot digest) {
}
