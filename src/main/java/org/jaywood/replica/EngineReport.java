package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;

/**
 * State of the engine, as it tells its own VM.
 *
 * @param bornMillis time of its start
 * @param running calls that run
 * @param queued calls that wait
 * @param orderInProgress whether an order is in progress
 * @param sequence number of orders that it accepted since its start
 * @param weights weights that it serves, or null
 */
public record EngineReport(long bornMillis, int running, int queued, boolean orderInProgress, long sequence,
		@Nullable LoadedWeights weights) {

	/**
	 * Whether the engine serves a version.
	 * @param layers layers of the model
	 */
	boolean serves(ModelVersion target, int layers) {
		return this.weights != null && this.weights.model().equals(target.model())
				&& this.weights.version() == target.version() && this.weights.complete(layers);
	}

}
