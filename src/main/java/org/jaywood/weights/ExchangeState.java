package org.jaywood.weights;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Progress of an exchange.
 *
 * @param chunksVerified wanted chunks that are verified
 * @param chunksWanted wanted chunks, 0 while no manifest is known
 * @param stagingBytes bytes held
 * @param stagingLimitBytes bound of the bytes held
 * @param fetchedBytes bytes fetched by source
 * @param failure why the weights cannot be fetched, or null
 */
public record ExchangeState(int chunksVerified, int chunksWanted, long stagingBytes, long stagingLimitBytes,
		Map<String, Long> fetchedBytes, @Nullable String failure) {
}
