package org.jaywood.router;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Queue that decides in which order the calls of one service get permits while capacity
 * is scarce. It uses start-time fair queueing: each workspace is charged the time for
 * which its calls occupy an upstream, divided by its share, and the workspace charged
 * least is next. Priorities apply only within a workspace, since otherwise a workspace
 * could take the shares of others by giving all its calls the highest priority. Not safe
 * for use by several threads.
 */
final class FairQueue {

	/** Charge for a call of a workspace none of whose calls has ended yet. */
	private static final double FIRST_CALL_ESTIMATE_MILLIS = 100;

	/** Weight of the latest call in the moving average of call times. */
	private static final double ESTIMATE_SMOOTHING = 0.2;

	private final int maxQueuedCalls;

	private final Map<String, WorkspaceQueue> workspaces = new HashMap<>();

	private double virtualTimeMillis;

	private int queuedCalls;

	/**
	 * Creates a queue.
	 * @param maxQueuedCalls largest number of queued calls
	 */
	FairQueue(int maxQueuedCalls) {
		this.maxQueuedCalls = maxQueuedCalls;
	}

	int queuedCalls() {
		return this.queuedCalls;
	}

	/**
	 * Grants a permit to a call that is not queued.
	 */
	void grantPermit(QueuedCall call, long nowMillis) {
		grantPermit(workspaceQueue(call), call, nowMillis, false);
	}

	/**
	 * Adds a call that has to wait. A full queue displaces the last call of the workspace
	 * with the most queued calls in proportion to its share.
	 * @return the displaced call, possibly the added one
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
	 * Revokes the permit of a call that found no capacity and refunds its charge.
	 */
	void revokePermit(QueuedCall call) {
		WorkspaceQueue workspace = workspaceQueue(call);
		workspace.runningCalls--;
		workspace.chargedMillis -= call.chargedMillis() / workspace.share;
	}

	/**
	 * Removes a call.
	 * @return whether it was queued
	 */
	boolean remove(QueuedCall call) {
		boolean removed = workspaceQueue(call).queued.remove(call);
		this.queuedCalls -= removed ? 1 : 0;
		return removed;
	}

	/**
	 * Grants a permit to the next call.
	 * @param nowMillis present time
	 * @param byProbe whether it is not known if an upstream has capacity
	 * @return the call, or null if none is queued
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
	 * Ends a call and corrects its charge to the time that it took.
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
			// An idle workspace gains no advantage over others, or it could use all
			// capacity in a burst.
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
	 * Queued calls and charges of one workspace.
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
