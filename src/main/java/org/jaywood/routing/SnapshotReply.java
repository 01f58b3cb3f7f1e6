package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Response of a gateway to an agent that polls for the snapshot of its service.
 *
 * @param current whether the gateway has store contact, so that the snapshot, or the one
 * that the agent has, is up to date
 * @param era era of the store that the gateway has seen
 * @param digest the snapshot, or null if the agent already has it
 */
public record SnapshotReply(boolean current, long era, @Nullable ServiceSnapshot digest) {

	/**
	 * Creates the response of a gateway whose store does not state an era.
	 */
	public SnapshotReply(boolean current, @Nullable ServiceSnapshot digest) {
		this(current, 0, digest);
	}

}
