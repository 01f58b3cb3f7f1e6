package org.jaywood.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Queued calls of each service. A service whose routes have several priorities shares its
 * slots by {@link SharedQueue}. Guarded by the lock of its {@link Dispatcher}.
 */
final class CallQueue {

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	private Set<String> sharedServices = Set.of();

	private long nextSequence;

	/**
	 * Applies a new configuration. A queue whose kind changes keeps its calls.
	 */
	void onRouteTable(RouteTable table) {
		this.sharedServices = table.servicesWithPriorities();
		this.queues.replaceAll((service, queue) -> {
			if ((queue instanceof SharedQueue) == this.sharedServices.contains(service)) {
				return queue;
			}
			ServiceQueue replacement = create(service);
			queue.calls().forEach(replacement::add);
			return replacement;
		});
	}

	private ServiceQueue create(String service) {
		return this.sharedServices.contains(service) ? new SharedQueue() : new ArrivalQueue();
	}

	/**
	 * Returns the queue of a service.
	 */
	ServiceQueue of(String service) {
		return this.queues.computeIfAbsent(service, this::create);
	}

	/**
	 * Returns the queue of a service, or an empty one that is not kept.
	 */
	ServiceQueue find(String service) {
		ServiceQueue queue = this.queues.get(service);
		return (queue != null) ? queue : create(service);
	}

	/**
	 * Queues a call.
	 * @param deadlineMillis time at which it leaves the queue
	 */
	QueuedCall add(CallRequirements requirements, long deadlineMillis, long nowMillis) {
		QueuedCall queuedCall = new QueuedCall(requirements, this.nextSequence++, nowMillis, deadlineMillis);
		of(requirements.service()).add(queuedCall);
		return queuedCall;
	}

	/**
	 * Removes a call from its queue.
	 * @return whether it was still queued
	 */
	boolean remove(QueuedCall queuedCall) {
		return of(queuedCall.requirements().service()).remove(queuedCall);
	}

	/**
	 * Returns the services for which calls have been queued.
	 */
	Set<String> services() {
		return Set.copyOf(this.queues.keySet());
	}

	/**
	 * Whether a call is likely to be placed within the time that it can wait.
	 * @param waitMillis time for which it can wait
	 */
	boolean isWaitFeasible(CallRequirements requirements, long waitMillis, long nowMillis) {
		return of(requirements.service()).isWaitFeasible(latest(requirements, nowMillis), waitMillis, nowMillis);
	}

	/**
	 * Returns the queued calls that are placed before another one that is queued now.
	 */
	int countAhead(CallRequirements requirements, long nowMillis) {
		return of(requirements.service()).countAhead(latest(requirements, nowMillis));
	}

	/**
	 * Takes the calls of a service out of its queue that no upstream may run any more.
	 */
	void refuseIf(String service, Predicate<QueuedCall> unplaceable) {
		ServiceQueue queue = of(service);
		queue.calls()
			.stream()
			.filter(unplaceable)
			.filter(queue::remove)
			.forEach((queuedCall) -> queuedCall.placement().cancel(false));
	}

	/**
	 * Takes the calls out of the queues whose wait cannot end in time any more.
	 */
	void refuseOverdue(long nowMillis) {
		List.copyOf(this.queues.values())
			.forEach((queue) -> queue.overdue(nowMillis).stream().filter(queue::remove).forEach(QueuedCall::refuse));
	}

	/**
	 * Describes the services that share slots, for the dump of the process.
	 */
	Stream<String> describe(long nowMillis) {
		return this.sharedServices.stream().map((service) -> service + " " + of(service).describe(nowMillis));
	}

	/**
	 * Returns a queue entry for a call arriving now, without queuing it.
	 */
	QueuedCall latest(CallRequirements requirements, long nowMillis) {
		return new QueuedCall(requirements, this.nextSequence, nowMillis, Long.MAX_VALUE);
	}

}
