package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Current state of an upstream, as its agent reports it to the gateways.
 *
 * @param upstream id of the upstream incarnation; empty if the engine does not answer or
 * has no store entry with its start time
 * @param running number of calls that the engine is running
 * @param queued number of calls that wait in the queue of the engine
 * @param busy whether the engine is changing its weights
 * @param gateways number of gateways that receive this report
 * @param informed whether the store answered the agent recently, either directly or
 * through a gateway
 * @param endedBornMillis start time of the last incarnation whose process the agent saw
 * end, 0 if none
 * @param weights weights that the engine serves, or null if it serves none or if
 * {@code upstream} is empty
 */
public record UpstreamReport(String upstream, int running, int queued, boolean busy, int gateways, boolean informed,
		long endedBornMillis, @Nullable LoadedWeights weights) {

	public boolean reachable() {
		return !this.upstream.isEmpty();
	}

	public int load() {
		return this.running + this.queued;
	}

}
