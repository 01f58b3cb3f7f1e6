package org.jaywood.routing;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Queued calls of one service and the order of their placement. Guarded by the lock of
 * its {@link Dispatcher}.
 */
interface ServiceQueue {

	void add(QueuedCall queuedCall);

	/**
	 * Removes a call.
	 * @return whether it was queued
	 */
	boolean remove(QueuedCall queuedCall);

	/**
	 * Returns the number of queued calls.
	 */
	int size();

	/**
	 * Returns the queued calls, in no particular order.
	 */
	List<QueuedCall> calls();

	/**
	 * Returns the number of queued calls that are likely to be placed before another one
	 * that is queued now.
	 */
	int countAhead(QueuedCall latest);

	/**
	 * Returns the queued calls that come before a newly arrived call, in no particular
	 * order. With fair queueing, all calls in its own flow are included.
	 */
	Stream<QueuedCall> callsBefore(QueuedCall latest);

	/**
	 * Begins to place calls.
	 */
	Pass pass();

	/**
	 * Records a call that has come, whether it is queued or refused.
	 */
	void onArrival(CallRequirements requirements, long nowMillis);

	/**
	 * Removes a call that has been placed.
	 */
	void onPlaced(QueuedCall queuedCall, long nowMillis);

	/**
	 * Records that a call is sent to an upstream, queued before or not.
	 */
	void onBegin();

	/**
	 * Records the end of a call at its upstream.
	 */
	void onEnd(Placement placement, Outcome outcome, long nowMillis);

	/**
	 * Whether a call is likely to be placed within the time that it can wait.
	 */
	boolean isWaitFeasible(QueuedCall latest, long waitMillis, long nowMillis);

	/**
	 * Returns what {@link #isWaitFeasible} would return once the call is recorded as one
	 * that has come, without recording it.
	 */
	boolean previewWaitFeasible(QueuedCall latest, long waitMillis, long nowMillis);

	/**
	 * Returns the queued calls that are not likely any more to be placed within the time
	 * that they can wait.
	 */
	List<QueuedCall> overdue(long nowMillis);

	/**
	 * Returns the time in milliseconds after which a refused call is likely to be placed.
	 * @param served tells whether an upstream runs that may take the call; evaluated only
	 * if needed, since it scans the upstreams
	 * @param leftMillis time that its caller has left
	 */
	long retryAfterMillis(CallRequirements requirements, BooleanSupplier served, long leftMillis, long nowMillis);

	/**
	 * Returns the time of {@link #retryAfterMillis} without scheduling a return.
	 * @param served whether an upstream runs that may take the call
	 * @param leftMillis time that its caller has left
	 * @param arrived whether the call counts as one that has come, although it is not
	 * recorded
	 */
	long previewRetryAfterMillis(CallRequirements requirements, boolean served, long leftMillis, boolean arrived,
			long nowMillis);

	/**
	 * Returns the free capacity for each gateway that must remain for more urgent calls
	 * when a call is placed.
	 */
	double heldBackSlots(CallRequirements requirements, long nowMillis);

	/**
	 * Describes the order for the dump of the process, empty if it is that of arrival.
	 */
	String describe(long nowMillis);

	/**
	 * Walk through the queued calls in the order of placement. Calls may be added and
	 * removed meanwhile.
	 */
	interface Pass {

		/**
		 * Returns the next call to be placed, or null if there is none.
		 */
		@Nullable QueuedCall next();

		/**
		 * Passes over a call that no upstream can take now, and over those that have the
		 * same constraints.
		 */
		void skip(QueuedCall queuedCall);

	}

}
