package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Ranks upstreams by the number of calls that they hold. Designed for upstreams of one
 * kind.
 */
final class LoadRanking implements EngineRanking {

	@Override
	public double cost(UpstreamState state, double load, CallRequirements requirements,
			@Nullable ServiceProfile profile, long nowMillis) {
		return cost(state, load);
	}

	static double cost(UpstreamState state, double load) {
		return load / Math.max(1, state.upstream().slots());
	}

	@Override
	public double waitMillis(UpstreamState state, double load, CallRequirements requirements, long nowMillis) {
		return -1;
	}

	@Override
	public AttemptObserver observer(UpstreamState state, double load, CallRequirements requirements,
			@Nullable ServiceProfile profile, long nowMillis) {
		return AttemptObserver.NONE;
	}

	@Override
	public void onEnd(AttemptActivity activity, Outcome outcome) {
	}

	@Override
	public double slowness(Upstream upstream, long nowMillis) {
		return 1;
	}

}
