package org.jaywood.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Calls that wait for a place, for each service in the order in which they get one. It
 * answers the load of an overload: a call that is unlikely to get a place within its wait
 * need not join. Guarded by the lock of its {@link Dispatcher}.
 */
final class CallQueue {

	/**
	 * Calls that always may wait, whatever the forecast says, so that no freed place
	 * idles.
	 */
	private static final int MIN_QUEUE_CALLS = 4;

	/** Part of its wait that a call may be forecast to need, since forecasts err. */
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
	 * Takes a call out of its queue.
	 * @return whether it still waited
	 */
	boolean remove(QueuedCall queuedCall) {
		return queue(queuedCall.requirements().service()).remove(queuedCall);
	}

	/**
	 * Takes a call that has got a place out of its queue.
	 */
	void removePlaced(QueuedCall queuedCall, long nowMillis) {
		remove(queuedCall);
		waitEstimator(queuedCall.requirements().service()).recordPlaced(nowMillis);
	}

	/**
	 * Services for which calls have waited.
	 */
	Set<String> services() {
		return Set.copyOf(this.queues.keySet());
	}

	int count(String service) {
		return queue(service).size();
	}

	/**
	 * The calls that wait for a service, the first one first.
	 */
	List<QueuedCall> inOrder(String service) {
		return List.copyOf(queue(service));
	}

	/**
	 * Whether a call is likely to get a place within its wait.
	 * @param waitMillis time for which it can wait
	 */
	boolean isWaitFeasible(CallRequirements requirements, long waitMillis, long nowMillis) {
		TreeSet<QueuedCall> queue = queue(requirements.service());
		if (queue.size() < MIN_QUEUE_CALLS) {
			return true;
		}
		int ahead = queue.headSet(new QueuedCall(requirements, this.nextSequence, nowMillis)).size();
		return waitEstimator(requirements.service()).waitMillis(ahead, nowMillis) <= MAX_FORECAST_SHARE * waitMillis;
	}

	private TreeSet<QueuedCall> queue(String service) {
		return this.queues.computeIfAbsent(service, (key) -> new TreeSet<>(QueuedCall.ORDER));
	}

	private QueueWaitEstimator waitEstimator(String service) {
		return this.waitEstimators.computeIfAbsent(service, (key) -> new QueueWaitEstimator());
	}

}
