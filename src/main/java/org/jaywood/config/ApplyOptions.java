package org.jaywood.config;

import java.util.OptionalLong;

/**
 * How a deployment is applied.
 *
 * @param author who applies
 * @param nowMillis present time, milliseconds since the epoch
 * @param expectedGeneration generation that must be in force, or empty for any
 * @param highestSeenGeneration highest generation seen by a reachable peer, or 0; the new
 * one is above it even if the platform came back with an older one
 */
public record ApplyOptions(String author, long nowMillis, OptionalLong expectedGeneration, long highestSeenGeneration) {

	public static ApplyOptions by(String author, long nowMillis) {
		return new ApplyOptions(author, nowMillis, OptionalLong.empty(), 0);
	}

}
