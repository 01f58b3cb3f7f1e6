package org.jaywood.routing;

import org.jspecify.annotations.Nullable;

/**
 * What a placement decision finds about one upstream.
 *
 * @param id its id
 * @param dataCentre its data centre
 * @param region its region
 * @param slots calls that it runs at once
 * @param load estimated calls that it holds
 * @param capacity calls that it may hold
 * @param cost cost of a placement there; the lowest one is chosen
 * @param excluded why the call is not placed there, or null if it may be
 * @param unavailableMillis time for which it is known to take no call of this gateway, 0
 * if there is none
 */
public record UpstreamExplanation(String id, String dataCentre, String region, int slots, double load, double capacity,
		double cost, @Nullable Exclusion excluded, long unavailableMillis) {
}
