package org.jaywood.gateway;

import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.BufferedRequest;
import org.jaywood.routing.CallCost;
import org.jaywood.routing.CallRequirements;
import org.jaywood.routing.Route;
import org.jaywood.routing.Workspace;

/**
 * Call that the configuration allows.
 *
 * @param id id that the caller gave this sending of the call
 * @param request the request as received
 * @param route its route
 * @param service service that runs it
 * @param workspace workspace of the caller, or null if the route needs no key
 * @param keysRequired whether keys are in use
 * @param arrivedMillis boot time at which it was read
 * @param onTimeUntilMillis boot time up to which it is on time
 * @param deadline time by which it must have its final response
 * @param late whether its target had passed before it arrived
 * @param tableVersion version of the configuration that allowed it
 * @param cost its size
 * @param sharedParts ids of the parts of its prompt that other prompts may share
 * @param lastEventId id of the event after which the caller resumes a stream, or null
 */
record Call(String id, BufferedRequest request, Route route, String service, @Nullable Workspace workspace,
		boolean keysRequired, long arrivedMillis, long onTimeUntilMillis, CallDeadline deadline, boolean late,
		long tableVersion, CallCost cost, Set<String> sharedParts, @Nullable String lastEventId) {

	private static final int QUEUE_PRIORITY_STEP = 2;

	private static final int LATE_QUEUE_PRIORITY_STEP = 3;

	private static final int MAX_QUEUE_PRIORITY = 9;

	/**
	 * Returns the regions in which the call may run: those that both the route and the
	 * workspace allow, or an empty set for all regions. If they have no region in common,
	 * the set contains only the empty name.
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
	 * Returns the priority of the call: that of its workspace, or else that of its route.
	 */
	int priority() {
		return priority(this.workspace, this.route.priority());
	}

	/**
	 * Returns the priority of calls of a workspace on a route.
	 * @param workspace the workspace, or null if there is none
	 */
	static int priority(@Nullable Workspace workspace, int routePriority) {
		return (workspace != null) ? workspace.priority().orElse(routePriority) : routePriority;
	}

	/**
	 * Returns the class in the queue of the call while it has not been sent.
	 */
	CallRequirements.QueueClass queueClass() {
		return this.late ? CallRequirements.QueueClass.LATE : CallRequirements.QueueClass.ON_TIME;
	}

	/**
	 * Returns the priority in the queue of an upstream, 0 first, 9 last.
	 */
	int queuePriority() {
		return Math.clamp((long) priority() * QUEUE_PRIORITY_STEP + (this.late ? LATE_QUEUE_PRIORITY_STEP : 0), 0,
				MAX_QUEUE_PRIORITY);
	}

	/**
	 * Returns this call with the limit of a graceful shutdown.
	 * @param millis boot time by which a shutdown needs the final response
	 */
	Call withShutdown(LongSupplier millis) {
		return new Call(this.id, this.request, this.route, this.service, this.workspace, this.keysRequired,
				this.arrivedMillis, this.onTimeUntilMillis, this.deadline.withShutdown(millis), this.late,
				this.tableVersion, this.cost, this.sharedParts, this.lastEventId);
	}

	/**
	 * Returns the boot time by which the call must have its final response.
	 */
	long deadlineMillis() {
		return this.deadline.millis();
	}

	long remainingMillis(long nowMillis) {
		return deadlineMillis() - nowMillis;
	}

}
