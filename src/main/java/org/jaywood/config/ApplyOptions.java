package org.jaywood.config;

import java.util.OptionalLong;

/**
 * Options of an apply.
 *
 * @param author who applies
 * @param nowMillis present time, milliseconds since the epoch
 * @param expectedGeneration generation that must be in force, or empty for any
 * @param highestSeenGeneration highest generation that a reachable peer reported, or 0;
 * the new generation is higher, even if the platform was restored to an older
 * configuration
 */
public record ApplyOptions(String author, long nowMillis, OptionalLong expectedGeneration, long highestSeenGeneration) {

	public static ApplyOptions ofAuthor(String author, long nowMillis) {
		return new ApplyOptions(author, nowMillis, OptionalLong.empty(), 0);
	}

}
