package org.jaywood.gateway;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.PlacementExplanation;

/**
 * How a call arriving now would be handled.
 *
 * @param gateway name of the gateway
 * @param configuration version of the configuration in force, or -1 if none is known
 * @param route name of its route, or null if it has none
 * @param workspace name of its workspace, or null
 * @param priority its priority
 * @param regions regions in which it may run, or empty for all
 * @param late whether it counts as late, since its caller has less time left than usual
 * @param refusal final response whatever the upstreams, or null if it may be sent
 * @param services services of the route that may run it
 */
public record CallExplanation(String gateway, long configuration, @Nullable String route, @Nullable String workspace,
		int priority, Set<String> regions, boolean late, @Nullable Refusal refusal, List<ServiceExplanation> services) {

	/**
	 * Final response of the gateway to a call that has not run.
	 *
	 * @param status HTTP status
	 * @param reason cause
	 * @param retryAfterMillis time after which the caller may retry, 0 if it is not told
	 * to
	 */
	public record Refusal(int status, String reason, long retryAfterMillis) {
	}

	/**
	 * Outcome for a call of one service.
	 *
	 * @param service name of the service
	 * @param weight its weight among the services of the route
	 * @param result outcome for the call
	 * @param refusal final response, or null if the call is not refused
	 * @param waitMillis longest time for which it would be queued
	 * @param placement what the placement decision finds
	 */
	public record ServiceExplanation(String service, int weight, Result result, @Nullable Refusal refusal,
			long waitMillis, PlacementExplanation placement) {
	}

	/**
	 * Outcome for a call.
	 */
	public enum Result {

		/** It is sent to an upstream at once. */
		PLACED,

		/** It waits for capacity. */
		QUEUED,

		/** It is not sent. */
		REFUSED

	}

}
