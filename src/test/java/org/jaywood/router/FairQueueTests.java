package org.jaywood.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a large workspace that floods the queue of a service and so takes the
 * capacity of small ones.
 */
class FairQueueTests {

	private static final int SMALL_WORKSPACES = 9;

	private static final long SIMULATION_END_MILLIS = 20_000;

	private static final int MAX_QUEUED_CALLS = 64;

	/** Fewer than a small workspace's share of the queue. */
	private static final int QUEUED_CALLS_PER_SMALL_WORKSPACE = 4;

	private long lastSequence;

	private QueuedCall queuedCall(String workspace, int share, int priority) {
		return new QueuedCall(workspace, share, priority, ++this.lastSequence);
	}

	/**
	 * The large workspace sends as many calls as the queue accepts, at the highest
	 * priority and of any length.
	 */
	@Property(tries = 60, seed = "1")
	void largeWorkspaceCannotPushSmallOnesBelowTheirShare(@ForAll @IntRange(min = 1, max = 16) int capacity,
			@ForAll @IntRange(min = 1, max = 5) int largeShare, @ForAll @IntRange(min = 1, max = 400) int largeMillis,
			@ForAll @IntRange(min = 1, max = 100) int smallMillis, @ForAll long seed) {
		Simulation simulation = new Simulation(capacity, largeShare, largeMillis, smallMillis, seed);
		simulation.run();
		double fairUsedMillis = (double) SIMULATION_END_MILLIS * capacity / (largeShare + SMALL_WORKSPACES);
		double slackMillis = 2.0 * Math.max(largeMillis, smallMillis) * (capacity + 1) / capacity;
		for (int i = 1; i <= SMALL_WORKSPACES; i++) {
			assertWithMessage("time of workspace %s of %s", i, fairUsedMillis)
				.that(simulation.usedMillis.getOrDefault("small-" + i, 0L))
				.isAtLeast((long) (0.95 * fairUsedMillis - slackMillis));
		}
		assertThat(simulation.displacedSmallCalls).isEqualTo(0);
	}

	/**
	 * Guards against a workspace that gets all capacity after it was idle.
	 */
	@Test
	void idleWorkspaceGainsNoAdvantage() {
		FairQueue queue = new FairQueue(MAX_QUEUED_CALLS);
		for (int i = 0; i < 50; i++) {
			QueuedCall busyCall = queuedCall("busy", 1, 5);
			queue.grantPermit(busyCall, i * 100L);
			queue.end(busyCall, true, i * 100L + 100);
		}
		for (int i = 0; i < 20; i++) {
			queue.add(queuedCall("busy", 1, 5));
			queue.add(queuedCall("idle", 1, 5));
		}
		long idleCalls = IntStream.range(0, 20)
			.mapToObj((i) -> queue.grantNext(5_000, false))
			.filter((next) -> next != null && next.workspace().equals("idle"))
			.count();
		assertThat(idleCalls).isAtMost(12);
	}

	@Test
	void higherPriorityGoesFirstWithinWorkspace() {
		FairQueue queue = new FairQueue(MAX_QUEUED_CALLS);
		QueuedCall lowPriority = queuedCall("a", 1, 9);
		QueuedCall highPriority = queuedCall("a", 1, 0);
		queue.add(lowPriority);
		queue.add(highPriority);
		assertThat(queue.grantNext(0, false)).isSameInstanceAs(highPriority);
		assertThat(queue.grantNext(0, false)).isSameInstanceAs(lowPriority);
	}

	/**
	 * Guards against a refused call that loses its position in the queue.
	 */
	@Test
	void revokedPermitIsNotCharged() {
		FairQueue queue = new FairQueue(MAX_QUEUED_CALLS);
		QueuedCall first = queuedCall("a", 1, 5);
		queue.add(first);
		queue.add(queuedCall("b", 1, 5));
		QueuedCall permitted = queue.grantNext(0, true);
		assertThat(permitted).isNotNull();
		for (int i = 0; i < 10 && permitted != null; i++) {
			queue.revokePermit(permitted);
			permitted.resetPermit();
			queue.add(permitted);
			QueuedCall again = queue.grantNext(0, true);
			assertThat(again).isSameInstanceAs(permitted);
			permitted = again;
		}
	}

	@Test
	void fullQueueDisplacesCallOfLargestWorkspace() {
		FairQueue queue = new FairQueue(3);
		QueuedCall last = queuedCall("large", 1, 9);
		queue.add(queuedCall("large", 1, 5));
		queue.add(last);
		queue.add(queuedCall("large", 1, 5));
		assertThat(queue.add(queuedCall("small", 1, 9))).isEqualTo(Optional.of(last));
		assertThat(queue.queuedCalls()).isEqualTo(3);
		QueuedCall refused = queuedCall("large", 1, 9);
		assertThat(queue.add(refused)).isEqualTo(Optional.of(refused));
	}

	/**
	 * Upstream with fixed capacity for which all workspaces have queued calls.
	 */
	private final class Simulation {

		private final FairQueue queue = new FairQueue(MAX_QUEUED_CALLS);

		private final Map<String, Long> usedMillis = new HashMap<>();

		private final PriorityQueue<RunningCall> running = new PriorityQueue<>(
				(one, other) -> Long.compare(one.endMillis(), other.endMillis()));

		private final Map<String, Integer> queuedCalls = new HashMap<>();

		private final List<String> smallWorkspaces = new ArrayList<>();

		private final int capacity;

		private final int largeShare;

		private final int largeMillis;

		private final int smallMillis;

		private final Random random;

		private int displacedSmallCalls;

		Simulation(int capacity, int largeShare, int largeMillis, int smallMillis, long seed) {
			this.capacity = capacity;
			this.largeShare = largeShare;
			this.largeMillis = largeMillis;
			this.smallMillis = smallMillis;
			this.random = new Random(seed);
			for (int i = 1; i <= SMALL_WORKSPACES; i++) {
				this.smallWorkspaces.add("small-" + i);
			}
		}

		void run() {
			long nowMillis = 0;
			fillQueue();
			for (int i = 0; i < this.capacity; i++) {
				startNext(nowMillis);
			}
			while (nowMillis < SIMULATION_END_MILLIS) {
				RunningCall endedCall = this.running.remove();
				nowMillis = endedCall.endMillis();
				this.queue.end(endedCall.call(), true, nowMillis);
				this.usedMillis.merge(endedCall.call().workspace(), nowMillis - endedCall.call().startedMillis(),
						Long::sum);
				fillQueue();
				startNext(nowMillis);
			}
		}

		private void fillQueue() {
			for (int i = 0; i < 8; i++) {
				enqueue(queuedCall("large", this.largeShare, 0));
			}
			this.smallWorkspaces.forEach((name) -> {
				while (this.queuedCalls.getOrDefault(name, 0) < QUEUED_CALLS_PER_SMALL_WORKSPACE) {
					enqueue(queuedCall(name, 1, 9));
				}
			});
		}

		private void enqueue(QueuedCall call) {
			this.queuedCalls.merge(call.workspace(), 1, Integer::sum);
			this.queue.add(call).ifPresent((displaced) -> {
				this.queuedCalls.merge(displaced.workspace(), -1, Integer::sum);
				this.displacedSmallCalls += displaced.workspace().equals("large") ? 0 : 1;
			});
		}

		private void startNext(long nowMillis) {
			QueuedCall next = this.queue.grantNext(nowMillis, false);
			if (next == null) {
				throw new IllegalStateException("no call is queued, expected calls of all workspaces");
			}
			this.queuedCalls.merge(next.workspace(), -1, Integer::sum);
			int bound = next.workspace().equals("large") ? this.largeMillis : this.smallMillis;
			this.running.add(new RunningCall(next, nowMillis + 1 + this.random.nextInt(bound)));
		}

	}

	private record RunningCall(QueuedCall call, long endMillis) {
	}

}
