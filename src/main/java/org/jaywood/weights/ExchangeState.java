package org.jaywood.weights;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Download progress of a chunk exchange.
 *
 * @param chunksVerified chunks of the target weights that are verified
 * @param chunksWanted chunks of the target weights, 0 while no manifest is known
 * @param stagingBytes bytes in the agent staging area
 * @param stagingLimitBytes capacity of the agent staging area in bytes
 * @param fetchedBytes fetched bytes by kind of source
 * @param failure why the weights cannot be fetched, or null
 */
public record ExchangeState(int chunksVerified, int chunksWanted, long stagingBytes, long stagingLimitBytes,
		Map<String, Long> fetchedBytes, @Nullable String failure) {
}
