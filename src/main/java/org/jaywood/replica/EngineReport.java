package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LoadedWeights;

/**
 * State of the engine, as it tells its own VM.
 *
 * @param bornMillis time of its start
 * @param running calls that run
 * @param queued calls that wait
 * @param busy whether an order is in progress
 * @param sequence number of orders that it accepted since its start
 * @param weights weights that it serves, or null
 */
public record EngineReport(long bornMillis, int running, int queued, boolean busy, long sequence,
		@Nullable LoadedWeights weights) {
}
