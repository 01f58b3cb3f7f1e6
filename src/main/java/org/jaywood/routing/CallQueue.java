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
	private static final int LEAST_QUEUE = 4;

	/** Part of its wait that a call may be forecast to need, since forecasts err. */
	private static final double FORECAST_SHARE = 0.8;

	private final Map<String, TreeSet<QueuedCall>> queues = new HashMap<>();

	private final Map<String, QueueWaitEstimator> forecasts = new HashMap<>();

	private long sequence;

	QueuedCall add(CallRequirements demand, long nowMillis) {
		QueuedCall ticket = new QueuedCall(demand, this.sequence++, nowMillis);
		queue(demand.service()).add(ticket);
		return ticket;
	}

	/**
	 * Takes a call out of its queue.
	 * @return whether it still waited
	 */
	boolean remove(QueuedCall ticket) {
		return queue(ticket.demand().service()).remove(ticket);
	}

	/**
	 * Takes a call that has got a place out of its queue.
	 */
	void removePlaced(QueuedCall ticket, long nowMillis) {
		remove(ticket);
		forecast(ticket.demand().service()).recordPlaced(nowMillis);
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
	boolean isWaitFeasible(CallRequirements demand, long waitMillis, long nowMillis) {
		TreeSet<QueuedCall> queue = queue(demand.service());
		if (queue.size() < LEAST_QUEUE) {
			return true;
		}
		int ahead = queue.headSet(new QueuedCall(demand, this.sequence, nowMillis)).size();
		return forecast(demand.service()).waitMillis(ahead, nowMillis) <= FORECAST_SHARE * waitMillis;
	}

	private TreeSet<QueuedCall> queue(String service) {
		return this.queues.computeIfAbsent(service, (key) -> new TreeSet<>(QueuedCall.ORDER));
	}

	private QueueWaitEstimator forecast(String service) {
		return this.forecasts.computeIfAbsent(service, (key) -> new QueueWaitEstimator());
	}

}
