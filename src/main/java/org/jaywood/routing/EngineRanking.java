package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * Ranks the upstreams that may run a call by the load that they hold.
 */
interface EngineRanking {

	/**
	 * Brings what the ranking of a service depends on up to date, before a call is
	 * placed. The other methods leave it as it is.
	 */
	default void refresh(String service, long nowMillis) {
	}

	/**
	 * Returns the load of an upstream as a cost: 1 for one that has all its slots in use
	 * by usual calls.
	 * @param load calls that it holds
	 */
	double cost(UpstreamState state, double load, CallRequirements requirements, @Nullable ServiceProfile profile,
			long nowMillis);

	/**
	 * Returns the expected wait in milliseconds of a call for a slot, -1 if it is not
	 * known.
	 * @param load calls that the upstream holds
	 */
	double waitMillis(UpstreamState state, double load, CallRequirements requirements, long nowMillis);

	/**
	 * Returns what is to be observed of an attempt that is sent.
	 */
	AttemptObserver observer(UpstreamState state, double load, CallRequirements requirements,
			@Nullable ServiceProfile profile, long nowMillis);

	/**
	 * Records the end of an attempt.
	 */
	void onEnd(AttemptActivity activity, Outcome outcome);

	/**
	 * Returns the measured factor of an upstream on the usual times of its service, 1 if
	 * it is not known.
	 */
	double slowness(Upstream upstream, long nowMillis);

}
