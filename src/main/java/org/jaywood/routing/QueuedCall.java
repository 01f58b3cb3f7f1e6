package org.jaywood.routing;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

/**
 * Place of a call in the queue of a service: calls that have begun first, then those that
 * can be on time, by priority and by their arrival.
 */
public final class QueuedCall {

	static final Comparator<QueuedCall> ORDER = Comparator.<QueuedCall, CallRequirements.QueueClass>comparing(
			(queuedCall) -> queuedCall.requirements.queueClass())
		.thenComparingInt((queuedCall) -> queuedCall.requirements.priority())
		.thenComparingLong((queuedCall) -> queuedCall.sequence);

	private final CallRequirements requirements;

	private final long sequence;

	private final long enqueuedMillis;

	private final CompletableFuture<Placement> placement = new CompletableFuture<>();

	QueuedCall(CallRequirements requirements, long number, long sinceMillis) {
		this.requirements = requirements;
		this.sequence = number;
		this.enqueuedMillis = sinceMillis;
	}

	/**
	 * Completes when the call has a place.
	 */
	public CompletableFuture<Placement> placement() {
		return this.placement;
	}

	CallRequirements requirements() {
		return this.requirements;
	}

	/**
	 * Time at which the call began to wait.
	 */
	long enqueuedMillis() {
		return this.enqueuedMillis;
	}

	/**
	 * Whether any upstream that has room for another call of the service has room for
	 * this one.
	 */
	boolean unconstrained() {
		return this.requirements.excludedUpstreams().isEmpty() && this.requirements.regions().isEmpty()
				&& this.requirements.pinnedVersion().isEmpty();
	}

}
