package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Fresh state of an engine, as its agent reports it to the gateways.
 *
 * @param upstream id of the incarnation, or empty while the engine does not answer
 * @param running calls that run
 * @param queued calls that wait in the engine
 * @param busy whether the engine is changing its weights
 * @param gateways gateways that receive this report
 * @param informed whether its agent lately heard of the store, through a gateway that
 * reaches it or by itself
 * @param weights weights that it serves
 */
public record UpstreamReport(String upstream, int running, int queued, boolean busy, int gateways, boolean informed,
		@Nullable LoadedWeights weights) {

	public boolean reachable() {
		return !this.upstream.isEmpty();
	}

	public int load() {
		return this.running + this.queued;
	}

}
