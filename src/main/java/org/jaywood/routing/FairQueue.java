package org.jaywood.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Queued calls of one priority in the order of start-time fair queueing over workspaces.
 * Each workspace has the same weight; a call costs the slot time that it is expected to
 * take. Answers a workspace that sends many times its share: the calls of the others are
 * placed as if it did not. A workspace that was idle starts at the present virtual time,
 * so it has no credit, and the debt of one call at most. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class FairQueue {

	/**
	 * At least one in this many placed calls of a flow is a late one, while any is
	 * queued, so that returning callers are neither ahead of nor behind all others.
	 */
	private static final int PLACED_PER_LATE_CALL = 4;

	private static final int INITIAL_RANKS = 16;

	private final Map<Constraints, TreeSet<Flow>> lanes = new HashMap<>();

	private final Map<Flow.Key, Flow> flows = new HashMap<>();

	/**
	 * Virtual time at which the last placed call of a workspace ends, if it is to come.
	 */
	private final Map<String, Finish> finishes = new HashMap<>();

	private final TreeSet<Finish> finishOrder = new TreeSet<>(Finish.ORDER);

	private final Map<String, Integer> queuedByWorkspace = new HashMap<>();

	/** Workspaces that have at least as many queued calls as the index. */
	private int[] workspacesWith = new int[INITIAL_RANKS];

	private double virtualTime;

	private int queuedCalls;

	int size() {
		return this.queuedCalls;
	}

	Stream<QueuedCall> calls() {
		return this.flows.values().stream().flatMap(Flow::calls);
	}

	void add(QueuedCall queuedCall) {
		Flow.Key key = new Flow.Key(Constraints.of(queuedCall.requirements()), queuedCall.requirements().workspace());
		Flow flow = this.flows.computeIfAbsent(key, Flow::new);
		if (flow.isEmpty()) {
			flow.moveTo(startTime(key.workspace()), queuedCall.sequence());
			this.lanes.computeIfAbsent(key.constraints(), (each) -> new TreeSet<>(Flow.ORDER)).add(flow);
		}
		if (flow.add(queuedCall)) {
			this.queuedCalls++;
			int ownCalls = this.queuedByWorkspace.merge(key.workspace(), 1, Integer::sum);
			if (ownCalls >= this.workspacesWith.length) {
				this.workspacesWith = Arrays.copyOf(this.workspacesWith, 2 * ownCalls);
			}
			this.workspacesWith[ownCalls]++;
		}
	}

	boolean remove(QueuedCall queuedCall) {
		Flow.Key key = new Flow.Key(Constraints.of(queuedCall.requirements()), queuedCall.requirements().workspace());
		Flow flow = this.flows.get(key);
		if (flow == null || !flow.remove(queuedCall)) {
			return false;
		}
		this.queuedCalls--;
		this.workspacesWith[this.queuedByWorkspace.getOrDefault(key.workspace(), 0)]--;
		this.queuedByWorkspace.computeIfPresent(key.workspace(), (each, count) -> (count > 1) ? count - 1 : null);
		if (flow.isEmpty()) {
			this.flows.remove(key);
			TreeSet<Flow> lane = this.lanes.get(key.constraints());
			if (lane != null && lane.remove(flow) && lane.isEmpty()) {
				this.lanes.remove(key.constraints());
			}
		}
		return true;
	}

	/**
	 * Removes a call that has been placed and charges its workspace.
	 * @param cost its expected slot time
	 */
	void onPlaced(QueuedCall queuedCall, double cost) {
		Flow.Key key = new Flow.Key(Constraints.of(queuedCall.requirements()), queuedCall.requirements().workspace());
		Flow flow = this.flows.get(key);
		if (flow != null) {
			flow.onPlaced(queuedCall);
		}
		remove(queuedCall);
		double startTime = startTime(key.workspace());
		this.virtualTime = Math.max(this.virtualTime, startTime);
		setFinish(new Finish(key.workspace(), startTime + cost));
	}

	private void setFinish(Finish finish) {
		Finish previous = this.finishes.put(finish.workspace(), finish);
		if (previous != null) {
			this.finishOrder.remove(previous);
		}
		this.finishOrder.add(finish);
		while (!this.finishOrder.isEmpty() && this.finishOrder.first().time() <= this.virtualTime) {
			this.finishes.remove(this.finishOrder.pollFirst().workspace());
		}
	}

	/**
	 * Returns the call that is next, or null if there is none.
	 * @param blocked constraints of calls that are passed over
	 */
	@Nullable QueuedCall first(Set<Constraints> blocked) {
		return this.lanes.entrySet()
			.stream()
			.filter((lane) -> !blocked.contains(lane.getKey()))
			.map((lane) -> firstFlow(lane.getValue()))
			.min(Flow.ORDER)
			.map(Flow::first)
			.orElse(null);
	}

	/**
	 * Returns the flow of a lane that is next. The times of the others may be too early,
	 * since their workspace may have had a call placed; they only ever rise.
	 */
	private Flow firstFlow(TreeSet<Flow> lane) {
		Flow first = lane.first();
		while (first.startTime() < finishTime(first.workspace())) {
			lane.remove(first);
			first.moveTo(startTime(first.workspace()), first.first().sequence());
			lane.add(first);
			first = lane.first();
		}
		return first;
	}

	private double startTime(String workspace) {
		return Math.max(this.virtualTime, finishTime(workspace));
	}

	private double finishTime(String workspace) {
		Finish finish = this.finishes.get(workspace);
		return (finish != null) ? finish.time() : 0;
	}

	/**
	 * Returns the queued calls that are likely to be placed before a call: each other
	 * workspace has as many placed as its own, up to that one, if it has so many.
	 * @param workspace its workspace
	 * @param ownAhead calls of its workspace that are placed before it
	 */
	int countAhead(String workspace, int ownAhead) {
		int ranks = Math.min(ownAhead + 1, this.workspacesWith.length - 1);
		int allAhead = IntStream.rangeClosed(1, ranks).map((rank) -> this.workspacesWith[rank]).sum();
		int ownCalls = this.queuedByWorkspace.getOrDefault(workspace, 0);
		return ownAhead + allAhead - Math.min(ownCalls, ranks);
	}

	/**
	 * Returns the queued calls that are likely to be placed before another one that is
	 * queued now.
	 */
	int countAhead(CallRequirements latest) {
		int ownCalls = this.queuedByWorkspace.getOrDefault(latest.workspace(), 0);
		int lateCalls = lateCalls(latest);
		int onTimeCalls = ownCalls - lateCalls;
		int ownAhead = (latest.queueClass() == CallRequirements.QueueClass.LATE)
				? Math.min(ownCalls, PLACED_PER_LATE_CALL * (lateCalls + 1) - 1)
				: onTimeCalls + Math.min(lateCalls, onTimeCalls / (PLACED_PER_LATE_CALL - 1));
		return countAhead(latest.workspace(), ownAhead);
	}

	/**
	 * Returns the queued calls of the same flow as a newly arrived call, and those of all
	 * flows whose turn comes before it.
	 */
	Stream<QueuedCall> callsBefore(QueuedCall latest) {
		CallRequirements requirements = latest.requirements();
		Flow own = this.flows.get(new Flow.Key(Constraints.of(requirements), requirements.workspace()));
		double startTime = (own != null) ? presentStartTime(own) : startTime(requirements.workspace());
		long order = (own != null) ? own.order() : latest.sequence();
		return this.flows.values().stream().filter((flow) -> {
			double otherStartTime = presentStartTime(flow);
			return flow == own || otherStartTime < startTime || (otherStartTime == startTime && flow.order() < order);
		}).flatMap(Flow::calls);
	}

	/**
	 * Returns the start time of a flow that {@link #firstFlow} would set.
	 */
	private double presentStartTime(Flow flow) {
		return (flow.startTime() < finishTime(flow.workspace())) ? startTime(flow.workspace()) : flow.startTime();
	}

	private int lateCalls(CallRequirements requirements) {
		Flow flow = this.flows.get(new Flow.Key(Constraints.of(requirements), requirements.workspace()));
		return (flow != null) ? flow.lateCalls() : 0;
	}

	/**
	 * Returns the queued calls in the order of each workspace, with the number of calls
	 * that are likely to be placed before each.
	 */
	Stream<Position> positions() {
		return this.flows.values().stream().flatMap((flow) -> flow.positions(this));
	}

	/**
	 * Virtual time at which the last placed call of a workspace ends.
	 */
	private record Finish(String workspace, double time) {

		static final Comparator<Finish> ORDER = Comparator.comparingDouble(Finish::time)
			.thenComparing(Finish::workspace);

	}

	/**
	 * Place of a call in the queue.
	 */
	record Position(QueuedCall queuedCall, int ahead) {
	}

	/**
	 * What limits the upstreams that may run a call. Calls with the same constraints find
	 * room together or not at all.
	 */
	record Constraints(Set<String> regions, OptionalLong pinnedVersion, Set<String> excludedUpstreams) {

		static Constraints of(CallRequirements requirements) {
			return new Constraints(requirements.regions(), requirements.pinnedVersion(),
					requirements.excludedUpstreams());
		}

	}

	/**
	 * Queued calls of one workspace with the same constraints.
	 */
	private static final class Flow {

		static final Comparator<Flow> ORDER = Comparator.comparingDouble(Flow::startTime)
			.thenComparingLong(Flow::order);

		private static final Comparator<QueuedCall> BY_ARRIVAL = Comparator.comparingLong(QueuedCall::sequence);

		private final Key key;

		private final TreeSet<QueuedCall> onTime = new TreeSet<>(BY_ARRIVAL);

		private final TreeSet<QueuedCall> late = new TreeSet<>(BY_ARRIVAL);

		private double startTime;

		private long order;

		private int placedBeforeLate;

		Flow(Key key) {
			this.key = key;
		}

		String workspace() {
			return this.key.workspace();
		}

		double startTime() {
			return this.startTime;
		}

		long order() {
			return this.order;
		}

		/**
		 * Sets its place among the flows, while it is not among them.
		 */
		void moveTo(double latestStartTime, long latestOrder) {
			this.startTime = latestStartTime;
			this.order = latestOrder;
		}

		boolean isEmpty() {
			return this.onTime.isEmpty() && this.late.isEmpty();
		}

		int lateCalls() {
			return this.late.size();
		}

		Stream<QueuedCall> calls() {
			return Stream.concat(this.onTime.stream(), this.late.stream());
		}

		boolean add(QueuedCall queuedCall) {
			return queue(queuedCall).add(queuedCall);
		}

		boolean remove(QueuedCall queuedCall) {
			return queue(queuedCall).remove(queuedCall);
		}

		private TreeSet<QueuedCall> queue(QueuedCall queuedCall) {
			return (queuedCall.requirements().queueClass() == CallRequirements.QueueClass.LATE) ? this.late
					: this.onTime;
		}

		QueuedCall first() {
			boolean lateIsNext = this.onTime.isEmpty() || this.placedBeforeLate >= PLACED_PER_LATE_CALL - 1;
			return (lateIsNext && !this.late.isEmpty()) ? this.late.first() : this.onTime.first();
		}

		void onPlaced(QueuedCall queuedCall) {
			boolean waitingLate = queue(queuedCall) == this.onTime && !this.late.isEmpty();
			this.placedBeforeLate = waitingLate ? this.placedBeforeLate + 1 : 0;
		}

		Stream<Position> positions(FairQueue queue) {
			List<QueuedCall> onTimeCalls = List.copyOf(this.onTime);
			List<QueuedCall> lateCalls = List.copyOf(this.late);
			Stream.Builder<Position> positions = Stream.builder();
			for (int i = 0; i < onTimeCalls.size(); i++) {
				int ahead = i + Math.min(lateCalls.size(), i / (PLACED_PER_LATE_CALL - 1));
				positions.add(new Position(onTimeCalls.get(i), queue.countAhead(workspace(), ahead)));
			}
			for (int i = 0; i < lateCalls.size(); i++) {
				int ahead = i + Math.min(onTimeCalls.size(), (i + 1) * (PLACED_PER_LATE_CALL - 1));
				positions.add(new Position(lateCalls.get(i), queue.countAhead(workspace(), ahead)));
			}
			return positions.build();
		}

		/**
		 * What the calls of a flow have in common.
		 */
		record Key(Constraints constraints, String workspace) {
		}

	}

}
