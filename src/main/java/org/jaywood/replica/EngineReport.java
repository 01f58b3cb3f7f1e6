package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;

/**
 * State of the engine as reported to its own VM.
 *
 * @param bornMillis start time of the engine
 * @param running number of running calls
 * @param queued number of calls in the queue of the engine
 * @param orderInProgress whether an order is in progress
 * @param sequence number of orders accepted since the start
 * @param weights served weights, or null
 */
public record EngineReport(long bornMillis, int running, int queued, boolean orderInProgress, long sequence,
		@Nullable LoadedWeights weights) {

	/**
	 * Whether the engine serves a version.
	 * @param layers number of layers of the model
	 */
	boolean serves(ModelVersion target, int layers) {
		return this.weights != null && this.weights.model().equals(target.model())
				&& this.weights.version() == target.version() && this.weights.complete(layers);
	}

}
