package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Present state of an engine, as its agent reports it to the gateways.
 *
 * @param upstream id of the incarnation, or empty while the engine does not answer
 * @param running calls that run
 * @param queued calls in the queue of the engine
 * @param busy whether the engine is changing its weights
 * @param gateways gateways that receive this report
 * @param informed whether its agent has recent store contact, through a gateway that
 * reaches the store or by itself
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
