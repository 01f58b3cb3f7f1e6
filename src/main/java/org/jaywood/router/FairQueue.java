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
	private static final double FIRST_CALL_ESTIMATE_MILLIS = 100;

	/** Weight of the latest call in the estimate. */
	private static final double ESTIMATE_SMOOTHING = 0.2;

	private final int maxQueuedCalls;

	private final Map<String, WorkspaceQueue> workspaces = new HashMap<>();

	private double virtualTimeMillis;

	private int queuedCalls;

	/**
	 * Creates a queue.
	 * @param maxQueuedCalls calls that may wait
	 */
	FairQueue(int maxQueuedCalls) {
		this.maxQueuedCalls = maxQueuedCalls;
	}

	int queuedCalls() {
		return this.queuedCalls;
	}

	/**
	 * Lets a call run without waiting.
	 */
	void grantPermit(QueuedCall call, long nowMillis) {
		grantPermit(workspaceQueue(call), call, nowMillis, false);
	}

	/**
	 * Adds a call that has to wait. A full queue gives up the last call of the workspace
	 * that holds most of the queue for its share.
	 * @return the call that has no room, possibly the one added
	 */
	Optional<QueuedCall> add(QueuedCall call) {
		WorkspaceQueue workspace = workspaceQueue(call);
		workspace.queued.add(call);
		this.queuedCalls++;
		if (this.queuedCalls <= this.maxQueuedCalls) {
			return Optional.empty();
		}
		Optional<QueuedCall> displaced = this.workspaces.values()
			.stream()
			.filter((candidate) -> !candidate.queued.isEmpty())
			.max(Comparator.comparingDouble((candidate) -> candidate.queued.size() / (double) candidate.share))
			.map((candidate) -> candidate.queued.last());
		displaced.ifPresent(this::remove);
		return displaced;
	}

	/**
	 * Takes back the turn of a call that found no room, without cost to its workspace.
	 */
	void revokePermit(QueuedCall call) {
		WorkspaceQueue workspace = workspaceQueue(call);
		workspace.runningCalls--;
		workspace.chargedMillis -= call.chargedMillis() / workspace.share;
	}

	/**
	 * Removes a call that waits no longer.
	 * @return whether it was waiting
	 */
	boolean remove(QueuedCall call) {
		boolean removed = workspaceQueue(call).queued.remove(call);
		this.queuedCalls -= removed ? 1 : 0;
		return removed;
	}

	/**
	 * Gives the next call its turn.
	 * @param nowMillis present time
	 * @param byProbe whether it is not known that an upstream has room
	 * @return the call, or null if none waits
	 */
	@Nullable QueuedCall grantNext(long nowMillis, boolean byProbe) {
		WorkspaceQueue workspace = this.workspaces.values()
			.stream()
			.filter((candidate) -> !candidate.queued.isEmpty())
			.min(Comparator.comparingDouble((candidate) -> candidate.chargedMillis))
			.orElse(null);
		if (workspace == null) {
			return null;
		}
		QueuedCall call = workspace.queued.removeFirst();
		this.queuedCalls--;
		grantPermit(workspace, call, nowMillis, byProbe);
		return call;
	}

	/**
	 * Ends a call and corrects its cost to the time that it took.
	 */
	void end(QueuedCall call, boolean admitted, long nowMillis) {
		if (!admitted) {
			revokePermit(call);
			return;
		}
		WorkspaceQueue workspace = workspaceQueue(call);
		double usedMillis = Math.max(1, nowMillis - call.startedMillis());
		workspace.runningCalls--;
		workspace.chargedMillis += (usedMillis - call.chargedMillis()) / workspace.share;
		workspace.callEstimateMillis += ESTIMATE_SMOOTHING * (usedMillis - workspace.callEstimateMillis);
	}

	private WorkspaceQueue workspaceQueue(QueuedCall call) {
		WorkspaceQueue workspace = this.workspaces.computeIfAbsent(call.workspace(), (key) -> new WorkspaceQueue());
		workspace.share = call.share();
		if (workspace.queued.isEmpty() && workspace.runningCalls == 0) {
			// Idle time earns nothing, or a workspace could save up for a burst.
			workspace.chargedMillis = Math.max(workspace.chargedMillis, this.virtualTimeMillis);
		}
		return workspace;
	}

	private void grantPermit(WorkspaceQueue workspace, QueuedCall call, long nowMillis, boolean byProbe) {
		this.virtualTimeMillis = Math.max(this.virtualTimeMillis, workspace.chargedMillis);
		workspace.runningCalls++;
		workspace.chargedMillis += workspace.callEstimateMillis / workspace.share;
		call.grantPermit(workspace.callEstimateMillis, nowMillis, byProbe);
	}

	/**
	 * Calls of one workspace.
	 */
	private static final class WorkspaceQueue {

		private final TreeSet<QueuedCall> queued = new TreeSet<>(
				Comparator.comparingInt(QueuedCall::priority).thenComparingLong(QueuedCall::sequence));

		private int share = 1;

		private int runningCalls;

		private double chargedMillis;

		private double callEstimateMillis = FIRST_CALL_ESTIMATE_MILLIS;

	}

}
