package org.jaywood.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Queued calls of each service in the order of their placement. Designed for overload: a
 * call that is unlikely to be placed within the time that it can wait need not be queued.
 * Guarded by the lock of its {@link Dispatcher}.
 */
final class CallQueue {

	/**
	 * Calls that may always be queued, whatever the forecast says, so that freed capacity
	 * is used.
	 */
	private static final int MIN_QUEUE_CALLS = 4;

	/**
	 * Largest forecast wait of a call, as a share of the time that it can wait, since
	 * forecasts are inexact.
	 */
	private static final double MAX_FORECAST_SHARE = 0.8;

	private final Map<String, TreeSet<QueuedCall>> queues = new HashMap<>();

	private final Map<String, QueueWaitEstimator> waitEstimators = new HashMap<>();

	private long nextSequence;

	QueuedCall add(CallRequirements requirements, long nowMillis) {
		QueuedCall queuedCall = new QueuedCall(requirements, this.nextSequence++, nowMillis);
		queue(requirements.service()).add(queuedCall);
		return queuedCall;
	}

	/**
	 * Removes a call from its queue.
	 * @return whether it was still queued
	 */
	boolean remove(QueuedCall queuedCall) {
		return queue(queuedCall.requirements().service()).remove(queuedCall);
	}

	/**
	 * Removes a call that has been placed from its queue.
	 */
	void removePlaced(QueuedCall queuedCall, long nowMillis) {
		remove(queuedCall);
		waitEstimator(queuedCall.requirements().service()).recordPlaced(nowMillis);
	}

	/**
	 * Returns the services for which calls have been queued.
	 */
	Set<String> services() {
		return Set.copyOf(this.queues.keySet());
	}

	int count(String service) {
		return queue(service).size();
	}

	/**
	 * Returns the queued calls of a service in the order of placement.
	 */
	List<QueuedCall> inOrder(String service) {
		return List.copyOf(queue(service));
	}

	/**
	 * Whether a call is likely to be placed within the time that it can wait.
	 * @param waitMillis time for which it can wait
	 */
	boolean isWaitFeasible(CallRequirements requirements, long waitMillis, long nowMillis) {
		TreeSet<QueuedCall> queue = queue(requirements.service());
		if (queue.size() < MIN_QUEUE_CALLS) {
			return true;
		}
		int ahead = countAhead(requirements, nowMillis);
		return waitEstimator(requirements.service()).waitMillis(ahead, nowMillis) <= MAX_FORECAST_SHARE * waitMillis;
	}

	/**
	 * Returns the queued calls that are placed before another one that is queued now.
	 */
	int countAhead(CallRequirements requirements, long nowMillis) {
		return queue(requirements.service()).headSet(new QueuedCall(requirements, this.nextSequence, nowMillis)).size();
	}

	private TreeSet<QueuedCall> queue(String service) {
		return this.queues.computeIfAbsent(service, (key) -> new TreeSet<>(QueuedCall.ORDER));
	}

	private QueueWaitEstimator waitEstimator(String service) {
		return this.waitEstimators.computeIfAbsent(service, (key) -> new QueueWaitEstimator());
	}

}
