package org.jaywood.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Queue of a service whose calls have several priorities. Calls that were sent before
 * come first, then the more urgent ones, with a floor for the others
 * ({@link PriorityFloor}), and the workspaces of each priority in turns
 * ({@link FairQueue}). Answers an overload in which less urgent calls would delay urgent
 * ones, or one workspace the others. Guarded by the lock of its {@link Dispatcher}.
 */
final class SharedQueue implements ServiceQueue {

	/**
	 * Calls that may always be queued, whatever the forecast says, so that capacity is
	 * used that becomes free after a time without any.
	 */
	private static final int MIN_QUEUE_CALLS = 4;

	private final TreeSet<QueuedCall> sentBefore = new TreeSet<>(QueuedCall.ORDER);

	private final TreeMap<Integer, FairQueue> byPriority = new TreeMap<>();

	private final PriorityDemand demand = new PriorityDemand();

	private final PriorityFloor floor = new PriorityFloor(this.demand);

	private final SlotDemand slots = new SlotDemand(this.demand);

	private final WaitForecast forecast = new WaitForecast(this.demand, this.floor, this.slots);

	private final ReturnSchedule returns = new ReturnSchedule(this.forecast);

	@Override
	public void add(QueuedCall queuedCall) {
		CallRequirements requirements = queuedCall.requirements();
		if (requirements.queueClass().sentBefore()) {
			this.sentBefore.add(queuedCall);
		}
		else {
			this.byPriority.computeIfAbsent(requirements.priority(), (key) -> new FairQueue()).add(queuedCall);
		}
	}

	@Override
	public boolean remove(QueuedCall queuedCall) {
		CallRequirements requirements = queuedCall.requirements();
		if (requirements.queueClass().sentBefore()) {
			return this.sentBefore.remove(queuedCall);
		}
		FairQueue fairQueue = this.byPriority.get(requirements.priority());
		return fairQueue != null && fairQueue.remove(queuedCall);
	}

	@Override
	public int size() {
		return this.sentBefore.size() + this.byPriority.values().stream().mapToInt(FairQueue::size).sum();
	}

	@Override
	public List<QueuedCall> calls() {
		return Stream.concat(this.sentBefore.stream(), this.byPriority.values().stream().flatMap(FairQueue::calls))
			.toList();
	}

	@Override
	public int countAhead(QueuedCall latest) {
		CallRequirements requirements = latest.requirements();
		if (requirements.queueClass().sentBefore()) {
			return this.sentBefore.headSet(latest).size();
		}
		return moreUrgentCalls(requirements.priority()) + countAheadInPriority(requirements);
	}

	private int countAheadInPriority(CallRequirements requirements) {
		FairQueue own = this.byPriority.get(requirements.priority());
		return (own != null) ? own.countAhead(requirements) : 0;
	}

	private int moreUrgentCalls(int priority) {
		return this.sentBefore.size()
				+ this.byPriority.headMap(priority).values().stream().mapToInt(FairQueue::size).sum();
	}

	@Override
	public Stream<QueuedCall> callsBefore(QueuedCall latest) {
		CallRequirements requirements = latest.requirements();
		if (requirements.queueClass().sentBefore()) {
			return this.sentBefore.headSet(latest).stream();
		}
		int priority = requirements.priority();
		Stream<QueuedCall> otherPriorities = this.byPriority.entrySet()
			.stream()
			.filter((entry) -> turns().compare(entry.getKey(), priority) < 0)
			.flatMap((entry) -> entry.getValue().calls());
		FairQueue own = this.byPriority.get(priority);
		return Stream
			.of(this.sentBefore.stream(), otherPriorities,
					(own != null) ? own.callsBefore(latest) : Stream.<QueuedCall>empty())
			.flatMap((calls) -> calls);
	}

	/**
	 * Returns the order in which priorities have their turn.
	 */
	private Comparator<Integer> turns() {
		return Comparator.comparing((Integer priority) -> !this.floor.due(priority))
			.thenComparing(Comparator.naturalOrder());
	}

	@Override
	public Pass pass() {
		return new SharedPass();
	}

	@Override
	public void onArrival(CallRequirements requirements, long nowMillis) {
		this.demand.onArrival(requirements.priority(), nowMillis);
	}

	@Override
	public void onPlaced(QueuedCall queuedCall, long nowMillis) {
		CallRequirements requirements = queuedCall.requirements();
		FairQueue fairQueue = this.byPriority.get(requirements.priority());
		if (requirements.queueClass().sentBefore() || fairQueue == null) {
			remove(queuedCall);
		}
		else {
			fairQueue.onPlaced(queuedCall, this.slots.expectedMillis(requirements.cost()));
			this.floor.onPlaced(requirements.priority(), nowMillis);
		}
		this.slots.onPlaced(nowMillis);
	}

	@Override
	public void onBegin() {
		this.slots.onBegin();
	}

	@Override
	public void onEnd(Placement placement, Outcome outcome, long nowMillis) {
		this.slots.onEnd(placement, outcome, nowMillis);
	}

	@Override
	public boolean isWaitFeasible(QueuedCall latest, long waitMillis, long nowMillis) {
		return isWaitFeasible(latest, this.forecast, waitMillis, nowMillis);
	}

	@Override
	public boolean previewWaitFeasible(QueuedCall latest, long waitMillis, long nowMillis) {
		return isWaitFeasible(latest, forecastWith(latest.requirements(), nowMillis), waitMillis, nowMillis);
	}

	/**
	 * Returns the forecast after the arrival of a call, without recording it.
	 */
	private WaitForecast forecastWith(CallRequirements latest, long nowMillis) {
		PriorityDemand latestDemand = this.demand.withArrival(latest.priority(), nowMillis);
		return new WaitForecast(latestDemand, new PriorityFloor(latestDemand), this.slots);
	}

	private boolean isWaitFeasible(QueuedCall latest, WaitForecast latestForecast, long waitMillis, long nowMillis) {
		CallRequirements requirements = latest.requirements();
		return size() < MIN_QUEUE_CALLS || requirements.queueClass().sentBefore()
				|| latestForecast.endsWithin(waitMillis, requirements.priority(),
						moreUrgentCalls(requirements.priority()), countAheadInPriority(requirements), nowMillis);
	}

	@Override
	public List<QueuedCall> overdue(long nowMillis) {
		List<QueuedCall> overdue = new ArrayList<>();
		if (size() < MIN_QUEUE_CALLS) {
			return overdue;
		}
		this.byPriority.forEach((priority, fairQueue) -> {
			int moreUrgent = moreUrgentCalls(priority);
			fairQueue.positions()
				.filter((position) -> position.queuedCall().deadlineMillis() != Long.MAX_VALUE)
				.filter((position) -> this.forecast.isOverdue(position.queuedCall(), moreUrgent, position.ahead(),
						nowMillis))
				.map(FairQueue.Position::queuedCall)
				.forEach(overdue::add);
		});
		return overdue;
	}

	@Override
	public long retryAfterMillis(CallRequirements requirements, BooleanSupplier served, long leftMillis,
			long nowMillis) {
		if (!served.getAsBoolean()) {
			return this.returns.unservedMillis(leftMillis);
		}
		FairQueue own = this.byPriority.get(requirements.priority());
		return this.returns.retryAfterMillis(requirements.priority(), moreUrgentCalls(requirements.priority()),
				(own != null) ? own.size() : 0, leftMillis, nowMillis);
	}

	@Override
	public long previewRetryAfterMillis(CallRequirements requirements, boolean served, long leftMillis, boolean arrived,
			long nowMillis) {
		if (!served) {
			return this.returns.previewUnservedMillis(leftMillis);
		}
		WaitForecast latest = arrived ? forecastWith(requirements, nowMillis) : this.forecast;
		FairQueue own = this.byPriority.get(requirements.priority());
		return this.returns.previewMillis(latest, requirements.priority(), moreUrgentCalls(requirements.priority()),
				(own != null) ? own.size() : 0, leftMillis, nowMillis);
	}

	@Override
	public double heldBackSlots(CallRequirements requirements, long nowMillis) {
		boolean first = requirements.queueClass().sentBefore() || this.floor.due(requirements.priority());
		return first ? 0 : this.slots.heldBackSlots(requirements.priority(), nowMillis);
	}

	@Override
	public String describe(long nowMillis) {
		return this.demand.priorities()
			.stream()
			.map((priority) -> "priority " + priority + ": queued="
					+ Optional.ofNullable(this.byPriority.get(priority)).map(FairQueue::size).orElse(0) + " heldBack="
					+ this.slots.heldBackSlots(priority, nowMillis))
			.collect(Collectors.joining(", "));
	}

	/**
	 * Walk in the order of placement, which each placement may change.
	 */
	private final class SharedPass implements Pass {

		private final Map<Integer, Set<FairQueue.Constraints>> blocked = new HashMap<>();

		private @Nullable QueuedCall lastSentBefore;

		@Override
		public @Nullable QueuedCall next() {
			QueuedCall previous = this.lastSentBefore;
			QueuedCall sent = (previous != null) ? SharedQueue.this.sentBefore.higher(previous)
					: SharedQueue.this.sentBefore.stream().findFirst().orElse(null);
			if (sent != null) {
				this.lastSentBefore = sent;
				return sent;
			}
			return SharedQueue.this.byPriority.keySet()
				.stream()
				.sorted(turns())
				.map(this::first)
				.filter(Objects::nonNull)
				.findFirst()
				.orElse(null);
		}

		private @Nullable QueuedCall first(Integer priority) {
			FairQueue fairQueue = SharedQueue.this.byPriority.get(priority);
			return (fairQueue != null) ? fairQueue.first(this.blocked.getOrDefault(priority, Set.of())) : null;
		}

		@Override
		public void skip(QueuedCall queuedCall) {
			CallRequirements requirements = queuedCall.requirements();
			if (!requirements.queueClass().sentBefore()) {
				this.blocked.computeIfAbsent(requirements.priority(), (key) -> new HashSet<>())
					.add(FairQueue.Constraints.of(requirements));
			}
		}

	}

}
