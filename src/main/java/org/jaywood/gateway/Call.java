package org.jaywood.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.BufferedRequest;
import org.jaywood.routing.Route;
import org.jaywood.routing.Workspace;

/**
 * Call that the configuration allows.
 *
 * @param id id of the caller's attempt
 * @param request the request as received
 * @param route its route
 * @param service service that runs it
 * @param workspace workspace of the caller, or null if the route needs no key
 * @param keysRequired whether keys are in use
 * @param arrivedMillis boot time at which it was read
 * @param onTimeUntilMillis boot time up to which it is on time
 * @param deadlineMillis boot time of its final answer at the latest
 * @param late whether its target had passed before it arrived
 * @param tableVersion version of the configuration that allowed it
 */
record Call(String id, BufferedRequest request, Route route, String service, @Nullable Workspace workspace,
		boolean keysRequired, long arrivedMillis, long onTimeUntilMillis, long deadlineMillis, boolean late,
		long tableVersion) {

	private static final int QUEUE_PRIORITY_STEP = 2;

	private static final int LATE_QUEUE_PRIORITY_STEP = 3;

	private static final int MAX_QUEUE_PRIORITY = 9;

	/**
	 * Regions in which the call may run: those that both the route and the workspace
	 * allow, or empty for all.
	 */
	Set<String> regions() {
		Set<String> ofWorkspace = (this.workspace != null) ? this.workspace.regions() : Set.of();
		if (ofWorkspace.isEmpty() || this.route.regions().isEmpty()) {
			return ofWorkspace.isEmpty() ? this.route.regions() : ofWorkspace;
		}
		Set<String> both = ofWorkspace.stream().filter(this.route.regions()::contains).collect(Collectors.toSet());
		return both.isEmpty() ? Set.of("") : both;
	}

	/**
	 * Rank of the call: that of its workspace, or else that of its route.
	 */
	int priority() {
		return Optional.ofNullable(this.workspace)
			.map(Workspace::priority)
			.filter((priority) -> priority.isPresent())
			.map((priority) -> priority.getAsInt())
			.orElse(this.route.priority());
	}

	/**
	 * Rank in the queue of an upstream, 0 first.
	 */
	int queuePriority() {
		return Math.clamp((long) priority() * QUEUE_PRIORITY_STEP + (this.late ? LATE_QUEUE_PRIORITY_STEP : 0), 0,
				MAX_QUEUE_PRIORITY);
	}

	/**
	 * The same call with its final answer by a boot time at the latest.
	 */
	Call withDeadlineAtMost(long latestMillis) {
		return new Call(this.id, this.request, this.route, this.service, this.workspace, this.keysRequired,
				this.arrivedMillis, this.onTimeUntilMillis, Math.min(this.deadlineMillis, latestMillis), this.late,
				this.tableVersion);
	}

	long remainingMillis(long nowMillis) {
		return this.deadlineMillis - nowMillis;
	}

}
