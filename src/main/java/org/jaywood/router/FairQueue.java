package org.jaywood.router;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Order in which the calls of one service get their turn while capacity is short. It is
 * start-time fair queueing: each workspace pays for the time its calls occupy an
 * upstream, divided by its share, and the one that paid least is next. Priorities count
 * only within a workspace, since otherwise a workspace could take the shares of others by
 * declaring all its calls urgent. Not safe for use by several threads.
 */
final class FairQueue {

	/** Cost of a call of a workspace of which none has ended yet. */
	private static final double FIRST_ESTIMATE_MILLIS = 100;

	/** Weight of the latest call in the estimate. */
	private static final double SMOOTHING = 0.2;

	private final int limit;

	private final Map<String, Lane> lanes = new HashMap<>();

	private double virtualMillis;

	private int waiting;

	/**
	 * Creates a queue.
	 * @param limit calls that may wait
	 */
	FairQueue(int limit) {
		this.limit = limit;
	}

	int waiting() {
		return this.waiting;
	}

	/**
	 * Lets a call run without waiting.
	 */
	void start(QueuedCall waiter, long nowMillis) {
		start(lane(waiter), waiter, nowMillis, false);
	}

	/**
	 * Adds a call that has to wait. A full queue gives up the last call of the workspace
	 * that holds most of the queue for its share.
	 * @return the call that has no room, possibly the one added
	 */
	Optional<QueuedCall> add(QueuedCall waiter) {
		Lane lane = lane(waiter);
		lane.calls.add(waiter);
		this.waiting++;
		if (this.waiting <= this.limit) {
			return Optional.empty();
		}
		Optional<QueuedCall> displaced = this.lanes.values()
			.stream()
			.filter((candidate) -> !candidate.calls.isEmpty())
			.max(Comparator.comparingDouble((candidate) -> candidate.calls.size() / (double) candidate.share))
			.map((candidate) -> candidate.calls.last());
		displaced.ifPresent(this::remove);
		return displaced;
	}

	/**
	 * Takes back the turn of a call that found no room, without cost to its workspace.
	 */
	void undo(QueuedCall waiter) {
		Lane lane = lane(waiter);
		lane.running--;
		lane.paidMillis -= waiter.chargedMillis() / lane.share;
	}

	/**
	 * Removes a call that waits no longer.
	 * @return whether it was waiting
	 */
	boolean remove(QueuedCall waiter) {
		boolean removed = lane(waiter).calls.remove(waiter);
		this.waiting -= removed ? 1 : 0;
		return removed;
	}

	/**
	 * Gives the next call its turn.
	 * @param nowMillis present time
	 * @param probe whether it is not known that an upstream has room
	 * @return the call, or null if none waits
	 */
	@Nullable QueuedCall next(long nowMillis, boolean probe) {
		Lane lane = this.lanes.values()
			.stream()
			.filter((candidate) -> !candidate.calls.isEmpty())
			.min(Comparator.comparingDouble((candidate) -> candidate.paidMillis))
			.orElse(null);
		if (lane == null) {
			return null;
		}
		QueuedCall waiter = lane.calls.removeFirst();
		this.waiting--;
		start(lane, waiter, nowMillis, probe);
		return waiter;
	}

	/**
	 * Ends a call and corrects its cost to the time that it took.
	 */
	void end(QueuedCall waiter, boolean admitted, long nowMillis) {
		if (!admitted) {
			undo(waiter);
			return;
		}
		Lane lane = lane(waiter);
		double heldMillis = Math.max(1, nowMillis - waiter.startedMillis());
		lane.running--;
		lane.paidMillis += (heldMillis - waiter.chargedMillis()) / lane.share;
		lane.estimateMillis += SMOOTHING * (heldMillis - lane.estimateMillis);
	}

	private Lane lane(QueuedCall waiter) {
		Lane lane = this.lanes.computeIfAbsent(waiter.workspace(), (key) -> new Lane());
		lane.share = waiter.share();
		if (lane.calls.isEmpty() && lane.running == 0) {
			// Idle time earns nothing, or a workspace could save up for a burst.
			lane.paidMillis = Math.max(lane.paidMillis, this.virtualMillis);
		}
		return lane;
	}

	private void start(Lane lane, QueuedCall waiter, long nowMillis, boolean probe) {
		this.virtualMillis = Math.max(this.virtualMillis, lane.paidMillis);
		lane.running++;
		lane.paidMillis += lane.estimateMillis / lane.share;
		waiter.start(lane.estimateMillis, nowMillis, probe);
	}

	/**
	 * Calls of one workspace.
	 */
	private static final class Lane {

		private final TreeSet<QueuedCall> calls = new TreeSet<>(
				Comparator.comparingInt(QueuedCall::priority).thenComparingLong(QueuedCall::sequence));

		private int share = 1;

		private int running;

		private double paidMillis;

		private double estimateMillis = FIRST_ESTIMATE_MILLIS;

	}

}
