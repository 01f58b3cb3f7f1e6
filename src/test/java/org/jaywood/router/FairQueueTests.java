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
 * Guards small workspaces against a large one that floods the queue of a service.
 */
class FairQueueTests {

	private static final int SMALL = 9;

	private static final long END_MILLIS = 20_000;

	private static final int QUEUE_LIMIT = 64;

	/** Calls that each small workspace keeps waiting, less than its part of the queue. */
	private static final int SMALL_WAITING = 4;

	private long sequence;

	private QueuedCall waiter(String workspace, int share, int priority) {
		return new QueuedCall(workspace, share, priority, ++this.sequence);
	}

	/**
	 * The large workspace sends as much as the queue takes, at the highest priority and
	 * with calls of any length.
	 */
	@Property(tries = 60, seed = "1")
	void largeWorkspaceCannotPushSmallOnesBelowTheirShare(@ForAll @IntRange(min = 1, max = 16) int capacity,
			@ForAll @IntRange(min = 1, max = 5) int largeShare, @ForAll @IntRange(min = 1, max = 400) int largeMillis,
			@ForAll @IntRange(min = 1, max = 100) int smallMillis, @ForAll long seed) {
		Simulation simulation = new Simulation(capacity, largeShare, largeMillis, smallMillis, seed);
		simulation.run();
		double fairMillis = (double) END_MILLIS * capacity / (largeShare + SMALL);
		double slackMillis = 2.0 * Math.max(largeMillis, smallMillis) * (capacity + 1) / capacity;
		for (int i = 1; i <= SMALL; i++) {
			assertWithMessage("time of workspace %s of %s", i, fairMillis)
				.that(simulation.heldMillis.getOrDefault("small-" + i, 0L))
				.isAtLeast((long) (0.95 * fairMillis - slackMillis));
		}
		assertThat(simulation.smallDisplaced).isEqualTo(0);
	}

	/**
	 * Guards against a workspace that saves up idle time and then holds everything.
	 */
	@Test
	void idleTimeEarnsNothing() {
		FairQueue queue = new FairQueue(QUEUE_LIMIT);
		for (int i = 0; i < 50; i++) {
			QueuedCall busy = waiter("busy", 1, 5);
			queue.start(busy, i * 100L);
			queue.end(busy, true, i * 100L + 100);
		}
		for (int i = 0; i < 20; i++) {
			queue.add(waiter("busy", 1, 5));
			queue.add(waiter("idle", 1, 5));
		}
		long idle = IntStream.range(0, 20)
			.mapToObj((i) -> queue.next(5_000, false))
			.filter((next) -> next != null && next.workspace().equals("idle"))
			.count();
		assertThat(idle).isAtMost(12);
	}

	@Test
	void priorityCountsWithinAWorkspace() {
		FairQueue queue = new FairQueue(QUEUE_LIMIT);
		QueuedCall late = waiter("a", 1, 9);
		QueuedCall urgent = waiter("a", 1, 0);
		queue.add(late);
		queue.add(urgent);
		assertThat(queue.next(0, false)).isSameInstanceAs(urgent);
		assertThat(queue.next(0, false)).isSameInstanceAs(late);
	}

	/**
	 * Guards the place of a call whose try was refused.
	 */
	@Test
	void undoneTurnCostsNothing() {
		FairQueue queue = new FairQueue(QUEUE_LIMIT);
		QueuedCall first = waiter("a", 1, 5);
		queue.add(first);
		queue.add(waiter("b", 1, 5));
		QueuedCall turn = queue.next(0, true);
		assertThat(turn).isNotNull();
		for (int i = 0; i < 10 && turn != null; i++) {
			queue.undo(turn);
			turn.stop();
			queue.add(turn);
			QueuedCall again = queue.next(0, true);
			assertThat(again).isSameInstanceAs(turn);
			turn = again;
		}
	}

	@Test
	void fullQueueGivesUpTheLargestHolder() {
		FairQueue queue = new FairQueue(3);
		QueuedCall last = waiter("large", 1, 9);
		queue.add(waiter("large", 1, 5));
		queue.add(last);
		queue.add(waiter("large", 1, 5));
		assertThat(queue.add(waiter("small", 1, 9))).isEqualTo(Optional.of(last));
		assertThat(queue.waiting()).isEqualTo(3);
		QueuedCall refused = waiter("large", 1, 9);
		assertThat(queue.add(refused)).isEqualTo(Optional.of(refused));
	}

	/**
	 * An upstream with fixed capacity in front of which all workspaces have calls
	 * waiting.
	 */
	private final class Simulation {

		private final FairQueue queue = new FairQueue(QUEUE_LIMIT);

		private final Map<String, Long> heldMillis = new HashMap<>();

		private final PriorityQueue<Running> running = new PriorityQueue<>(
				(one, other) -> Long.compare(one.endMillis(), other.endMillis()));

		private final Map<String, Integer> waiting = new HashMap<>();

		private final List<String> small = new ArrayList<>();

		private final int capacity;

		private final int largeShare;

		private final int largeMillis;

		private final int smallMillis;

		private final Random random;

		private int smallDisplaced;

		Simulation(int capacity, int largeShare, int largeMillis, int smallMillis, long seed) {
			this.capacity = capacity;
			this.largeShare = largeShare;
			this.largeMillis = largeMillis;
			this.smallMillis = smallMillis;
			this.random = new Random(seed);
			for (int i = 1; i <= SMALL; i++) {
				this.small.add("small-" + i);
			}
		}

		void run() {
			long nowMillis = 0;
			fill();
			for (int i = 0; i < this.capacity; i++) {
				begin(nowMillis);
			}
			while (nowMillis < END_MILLIS) {
				Running ended = this.running.remove();
				nowMillis = ended.endMillis();
				this.queue.end(ended.waiter(), true, nowMillis);
				this.heldMillis.merge(ended.waiter().workspace(), nowMillis - ended.waiter().startedMillis(),
						Long::sum);
				fill();
				begin(nowMillis);
			}
		}

		private void fill() {
			for (int i = 0; i < 8; i++) {
				offer(waiter("large", this.largeShare, 0));
			}
			this.small.forEach((name) -> {
				while (this.waiting.getOrDefault(name, 0) < SMALL_WAITING) {
					offer(waiter(name, 1, 9));
				}
			});
		}

		private void offer(QueuedCall waiter) {
			this.waiting.merge(waiter.workspace(), 1, Integer::sum);
			this.queue.add(waiter).ifPresent((displaced) -> {
				this.waiting.merge(displaced.workspace(), -1, Integer::sum);
				this.smallDisplaced += displaced.workspace().equals("large") ? 0 : 1;
			});
		}

		private void begin(long nowMillis) {
			QueuedCall next = this.queue.next(nowMillis, false);
			if (next == null) {
				throw new IllegalStateException("all workspaces have calls waiting");
			}
			this.waiting.merge(next.workspace(), -1, Integer::sum);
			int bound = next.workspace().equals("large") ? this.largeMillis : this.smallMillis;
			this.running.add(new Running(next, nowMillis + 1 + this.random.nextInt(bound)));
		}

	}

	private record Running(QueuedCall waiter, long endMillis) {
	}

}
