package org.jaywood.routing;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

/**
 * Call in the queue of a service. Started calls come first, then those that were placed
 * on a VM that does not run any more, those that can be on time, and late ones, each by
 * priority and arrival.
 */
public final class QueuedCall {

	static final Comparator<QueuedCall> ORDER = Comparator.<QueuedCall, CallRequirements.QueueClass>comparing(
			(queuedCall) -> queuedCall.requirements.queueClass())
		.thenComparingInt((queuedCall) -> queuedCall.requirements.priority())
		.thenComparingLong((queuedCall) -> queuedCall.sequence);

	private final CallRequirements requirements;

	private final long sequence;

	private final long enqueuedMillis;

	private final long deadlineMillis;

	private final CompletableFuture<Placement> placement = new CompletableFuture<>();

	private volatile boolean refused;

	QueuedCall(CallRequirements requirements, long number, long sinceMillis, long untilMillis) {
		this.requirements = requirements;
		this.sequence = number;
		this.enqueuedMillis = sinceMillis;
		this.deadlineMillis = untilMillis;
	}

	/**
	 * Returns the placement, which completes when the call is placed.
	 */
	public CompletableFuture<Placement> placement() {
		return this.placement;
	}

	CallRequirements requirements() {
		return this.requirements;
	}

	/**
	 * Returns the time at which the call was queued.
	 */
	long enqueuedMillis() {
		return this.enqueuedMillis;
	}

	/**
	 * Returns the number of the call in the order of arrival.
	 */
	long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the time at which the call leaves the queue unplaced.
	 */
	long deadlineMillis() {
		return this.deadlineMillis;
	}

	/**
	 * Ends the wait of a call that has left the queue, since it cannot be placed in time.
	 */
	void refuse() {
		this.refused = true;
		this.placement.cancel(false);
	}

	/**
	 * Whether the wait was ended early, because the call could not be placed in time.
	 */
	public boolean refused() {
		return this.refused;
	}

	/**
	 * Whether any upstream that has capacity for another call of the service has capacity
	 * for this one.
	 */
	boolean unconstrained() {
		return this.requirements.excludedUpstreams().isEmpty() && this.requirements.regions().isEmpty()
				&& this.requirements.pinnedVersion().isEmpty();
	}

}
