package org.jaywood.routing;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

/**
 * Place of a call in the queue of a service: calls that have begun first, then those that
 * can be on time, by priority and by their arrival.
 */
public final class QueuedCall {

	static final Comparator<QueuedCall> ORDER = Comparator.<QueuedCall, CallRequirements.QueueClass>comparing(
			(ticket) -> ticket.demand.rank())
		.thenComparingInt((ticket) -> ticket.demand.priority())
		.thenComparingLong((ticket) -> ticket.number);

	private final CallRequirements demand;

	private final long number;

	private final long sinceMillis;

	private final CompletableFuture<Placement> placement = new CompletableFuture<>();

	QueuedCall(CallRequirements demand, long number, long sinceMillis) {
		this.demand = demand;
		this.number = number;
		this.sinceMillis = sinceMillis;
	}

	/**
	 * Completes when the call has a place.
	 */
	public CompletableFuture<Placement> placement() {
		return this.placement;
	}

	CallRequirements demand() {
		return this.demand;
	}

	/**
	 * Time at which the call began to wait.
	 */
	long sinceMillis() {
		return this.sinceMillis;
	}

	/**
	 * Whether any upstream that has room for another call of the service has room for
	 * this one.
	 */
	boolean unconstrained() {
		return this.demand.excludedUpstreams().isEmpty() && this.demand.regions().isEmpty()
				&& this.demand.pinnedVersion().isEmpty();
	}

}
