package org.jaywood.routing;

import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class PlacementExplainerTests {

	private static final long NOW = 100_000;

	private static final long WAIT_MILLIS = 230;

	private static final long LEFT_MILLIS = 6_000;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	private final CallRequirements call = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);

	PlacementExplainerTests() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
	}

	private PlacementExplanation explain(CallRequirements requirements, long nowMillis) {
		return this.dispatcher.explain(requirements, WAIT_MILLIS, LEFT_MILLIS, nowMillis);
	}

	private Exclusion excluded(String id, CallRequirements requirements, long nowMillis) {
		return explain(requirements, nowMillis).upstreams()
			.stream()
			.filter((upstream) -> upstream.id().equals(id))
			.findFirst()
			.orElseThrow()
			.excluded();
	}

	private Exclusion excluded(long nowMillis) {
		return excluded("a", this.call, nowMillis);
	}

	private void fleet(Upstream... upstreams) {
		this.dispatcher.onFleet(RoutingFixtures.fleet(upstreams), NOW);
	}

	private void report(String id, int running, int queued, boolean busy, boolean reachable) {
		this.dispatcher.onReport(id, new UpstreamReport(reachable ? id : "", running, queued, busy, 1, true, 0,
				new LoadedWeights("model", 1, 0, 16)), NOW);
	}

	private void report(String id, int running) {
		report(id, running, 0, false, true);
	}

	private CallRequirements call(Set<String> regions, OptionalLong pinnedVersion, Set<String> tried) {
		return new CallRequirements("call", RoutingFixtures.ENGINE_SERVICE, regions, "", 1,
				CallRequirements.QueueClass.ON_TIME, true, CallCost.UNKNOWN, pinnedVersion, tried);
	}

	/**
	 * Guards against an answer that evaluates all upstreams for each queued call while
	 * calls wait for the lock of the dispatcher.
	 */
	@Test
	void queuedCallsWithTheSameConstraintsAreEvaluatedOnce() {
		fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b", "donan-a", "donan", 1));
		report("a", 0);
		report("b", RoutingFixtures.SLOTS, 1, false, true);
		CountedRegions regions = new CountedRegions("donan");
		for (int number = 0; number < 10; number++) {
			this.dispatcher.enqueue(call(regions, OptionalLong.empty(), Set.of()), NOW);
		}
		regions.lookups = 0;
		PlacementExplanation placed = explain(this.call, NOW);
		assertThat(placed.upstream()).isEqualTo("a");
		assertThat(placed.queuedCalls()).isEqualTo(10);
		assertThat(regions.lookups).isIn(Range.closed(1, 10));
		regions.lookups = 0;
		PlacementExplanation queued = explain(call(Set.of("donan"), OptionalLong.empty(), Set.of()), NOW);
		assertThat(queued.refusal()).isNull();
		assertThat(queued.upstream()).isNull();
		assertThat(regions.lookups).isEqualTo(0);
	}

	/**
	 * Guards against an engine that is passed over without its reason, or with a wrong
	 * one.
	 */
	@Nested
	class Exclusions {

		@Test
		void leavingClosedForeignTriedAndOldOnes() {
			Upstream elsewhere = RoutingFixtures.engine("b", "donan-a", "donan", 1);
			Upstream closed = RoutingFixtures.engine("c", "kushiro-b", "doto", 1);
			Upstream partial = new Upstream("d", RoutingFixtures.ENGINE_SERVICE, RoutingFixtures.engine("d").address(),
					"kushiro-a", "doto", 4, false, 0, 1, new LoadedWeights("model", 1, 0, 8));
			Fleet open = RoutingFixtures.fleet(RoutingFixtures.leaving(RoutingFixtures.engine("a")), elsewhere, closed,
					partial, RoutingFixtures.engine("e"), RoutingFixtures.engine("f", "kushiro-a", "doto", 2));
			PlacementExplainerTests.this.dispatcher.onFleet(new Fleet(open.upstreams(), Set.of("kushiro-b"), Map.of()),
					NOW);
			CallRequirements bound = call(Set.of("doto"), OptionalLong.of(2), Set.of("f"));
			assertThat(List.of("a", "b", "c", "d", "e", "f")
				.stream()
				.map((id) -> PlacementExplainerTests.this.excluded(id, bound, NOW))
				.toList())
				.containsExactly(Exclusion.LEAVING, Exclusion.REGION, Exclusion.CLOSED_DATA_CENTRE, Exclusion.VERSION,
						Exclusion.VERSION, Exclusion.TRIED)
				.inOrder();
			assertThat(explain(bound, NOW).refusal()).isEqualTo(PlacementRefusal.NO_PLACE);
		}

		@Test
		void versionWhoseGracePeriodEnded() {
			PlacementExplainerTests.this.dispatcher
				.onFleet(new Fleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")).upstreams(), Set.of(),
						Map.of("model", List.of(new Fleet.TargetVersion(2, NOW)))), NOW);
			assertThat(excluded(NOW + 6_999)).isNull();
			assertThat(excluded(NOW + 7_000)).isEqualTo(Exclusion.VERSION);
		}

		@Test
		void busyAndUnreachableOnes() {
			fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b"));
			report("a", 0, 0, true, true);
			report("b", 0, 0, false, false);
			assertThat(excluded(NOW)).isEqualTo(Exclusion.BUSY);
			assertThat(excluded("b", PlacementExplainerTests.this.call, NOW)).isEqualTo(Exclusion.UNRESPONSIVE);
		}

		@Test
		void ejectedOne() {
			fleet(RoutingFixtures.engine("a"));
			report("a", 0);
			Placement placement = PlacementExplainerTests.this.dispatcher
				.enqueue(PlacementExplainerTests.this.call, NOW)
				.placement()
				.join();
			PlacementExplainerTests.this.dispatcher.recordEnd(placement, Outcome.UNREACHABLE, NOW);
			PlacementExplanation explanation = explain(PlacementExplainerTests.this.call, NOW);
			assertThat(excluded(NOW)).isEqualTo(Exclusion.EJECTED);
			assertThat(explanation.refusal()).isNull();
			assertThat(explanation.upstream()).isNull();
			assertThat(explanation.upstreams().getFirst().unavailableMillis()).isEqualTo(250);
		}

		@Test
		void pausedOneAndItsRefusal() {
			Upstream engine = RoutingFixtures.engine("a");
			fleet(engine);
			PlacementExplainerTests.this.dispatcher.onPause(engine, 3_000, NOW);
			assertThat(excluded(NOW)).isEqualTo(Exclusion.PAUSED);
			PlacementExplanation explanation = explain(PlacementExplainerTests.this.call, NOW);
			assertThat(explanation.refusal()).isEqualTo(PlacementRefusal.NO_PLACE);
			assertThat(explanation.retryAfterMillis()).isAtLeast(3_000);
		}

		@Test
		void namedLimitAndItsRefusal() {
			Upstream engine = RoutingFixtures.engine("a");
			fleet(engine);
			report("a", 0);
			PlacementExplainerTests.this.dispatcher.onLimit(engine, new LimitNotice.Limited(0.5), NOW, NOW);
			assertThat(excluded(NOW)).isEqualTo(Exclusion.UPSTREAM_LIMIT);
			PlacementExplanation explanation = explain(PlacementExplainerTests.this.call, NOW);
			assertThat(explanation.refusal()).isEqualTo(PlacementRefusal.RATE_LIMITED);
			assertThat(explanation.upstreams().getFirst().unavailableMillis()).isGreaterThan(WAIT_MILLIS);
			assertThat(explanation.retryAfterMillis())
				.isEqualTo(explanation.upstreams().getFirst().unavailableMillis());
		}

		@Test
		void limitOfColdEngines() {
			fleet(RoutingFixtures.engine("a"));
			report("a", 0);
			while (excluded(NOW) == null) {
				Placement placement = PlacementExplainerTests.this.dispatcher
					.enqueue(PlacementExplainerTests.this.call, NOW)
					.placement()
					.join();
				PlacementExplainerTests.this.dispatcher.recordEnd(placement, Outcome.ANSWERED, NOW);
			}
			assertThat(excluded(NOW)).isEqualTo(Exclusion.COLD_LIMIT);
		}

		@Test
		void fullOne() {
			fleet(RoutingFixtures.engine("a"));
			report("a", RoutingFixtures.SLOTS, 1, false, true);
			assertThat(excluded(NOW)).isEqualTo(Exclusion.FULL);
			assertThat(explain(PlacementExplainerTests.this.call, NOW).upstream()).isNull();
		}

		@Test
		void silentVm() {
			fleet(RoutingFixtures.engine("a"));
			report("a", 0);
			PlacementExplainerTests.this.dispatcher.enqueue(PlacementExplainerTests.this.call, NOW);
			for (long tick = NOW; tick <= NOW + 700; tick += 50) {
				PlacementExplainerTests.this.dispatcher.onTick(tick);
			}
			assertThat(excluded(NOW + 700)).isEqualTo(Exclusion.SILENT_VM);
		}

		@Test
		void latePathsWithAndWithoutACallUnderWay() {
			fleet(RoutingFixtures.engine("a"));
			report("a", 0);
			PlacementExplainerTests.this.dispatcher.enqueue(PlacementExplainerTests.this.call, NOW);
			fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b"), RoutingFixtures.engine("c"));
			List.of("b", "c").forEach((id) -> report(id, 0));
			List.of("a", "b").forEach((id) -> {
				PlacementExplainerTests.this.dispatcher.onReportDelay(id, NOW, NOW);
				PlacementExplainerTests.this.dispatcher.onReportDelay(id, NOW, NOW + 300);
			});
			assertThat(excluded(NOW + 300)).isEqualTo(Exclusion.PATH_SUSPECT);
			assertThat(excluded("b", PlacementExplainerTests.this.call, NOW + 300)).isEqualTo(Exclusion.SLOW_PATH);
			assertThat(explain(PlacementExplainerTests.this.call, NOW + 300).upstream()).isEqualTo("c");
		}

		@Test
		void quietOneWithSeveralCalls() {
			fleet(RoutingFixtures.engine("a"));
			report("a", 0);
			IntStream.range(0, 2)
				.mapToObj((number) -> PlacementExplainerTests.this.dispatcher.enqueue(PlacementExplainerTests.this.call,
						NOW))
				.forEach((queuedCall) -> queuedCall.placement().join().activity().onSent(NOW));
			fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b"));
			List.of("a", "b").forEach((id) -> report(id, id.equals("a") ? 2 : 0));
			assertThat(excluded(NOW + 700)).isEqualTo(Exclusion.STALLED);
		}

		@Test
		void engineWithoutSubscription() {
			fleet(IntStream.range(0, 40)
				.mapToObj((number) -> RoutingFixtures.engine("engine-" + number))
				.toArray(Upstream[]::new));
			List<String> subscribed = List.copyOf(PlacementExplainerTests.this.dispatcher.subscribedEngines().values());
			subscribed.forEach((id) -> report(id, 0));
			explain(PlacementExplainerTests.this.call, NOW).upstreams()
				.forEach((upstream) -> assertThat(upstream.excluded())
					.isEqualTo(subscribed.contains(upstream.id()) ? null : Exclusion.NOT_SUBSCRIBED));
		}

		@Test
		void otherDataCentreWhileTheOwnHasAFreeSlot() {
			fleet(RoutingFixtures.engine("a"), RoutingFixtures.engine("b", "donan-a", "donan", 1));
			report("a", RoutingFixtures.SLOTS - 1);
			report("b", 0);
			assertThat(explain(PlacementExplainerTests.this.call, NOW).upstream()).isEqualTo("a");
			assertThat(excluded("b", PlacementExplainerTests.this.call, NOW)).isEqualTo(Exclusion.OTHER_DATA_CENTRE);
		}

	}

	/**
	 * Calls of three priorities that overload the engines of two data centres for a
	 * while. Guards against an answer that differs from the decision about the call, and
	 * against questions that change later decisions.
	 */
	@Nested
	class Overload {

		@Test
		void explainingChangesNoDecision() {
			assertThat(new OverloadRun(5).run()).containsExactlyElementsIn(new OverloadRun(0).run()).inOrder();
		}

		@Test
		void answersAreThoseOfTheCalls() {
			OverloadRun run = new OverloadRun(1);
			List<String> decisions = run.run();
			assertThat(run.wrongAnswers).isEmpty();
			for (String decision : List.of("LOCAL", "FULL", "queued", "QUEUE_FULL")) {
				assertWithMessage(decision).that(decisions.stream().anyMatch((line) -> line.contains(decision)))
					.isTrue();
			}
			assertThat(run.seen).containsAtLeast(Exclusion.FULL, Exclusion.FREE_CAPACITY_SHARE, Exclusion.HELD_BACK,
					Exclusion.OTHER_DATA_CENTRE);
		}

	}

	/**
	 * Set of one region that counts how often an upstream is compared with it.
	 */
	private static final class CountedRegions extends AbstractSet<String> {

		private final Set<String> regions;

		private int lookups;

		CountedRegions(String region) {
			this.regions = Set.of(region);
		}

		@Override
		public boolean contains(Object region) {
			this.lookups++;
			return this.regions.contains(region);
		}

		@Override
		public Iterator<String> iterator() {
			return this.regions.iterator();
		}

		@Override
		public int size() {
			return this.regions.size();
		}

	}

	/**
	 * One run, in steps of 5 ms.
	 */
	private static final class OverloadRun {

		private static final int ENGINES = 8;

		private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

		private final Random random = new Random(3);

		private final int questions;

		private final List<String> decisions = new ArrayList<>();

		private final List<String> wrongAnswers = new ArrayList<>();

		private final Set<Exclusion> seen = EnumSet.noneOf(Exclusion.class);

		private final List<QueuedCall> waiting = new ArrayList<>();

		private final PriorityQueue<Running> running = new PriorityQueue<>();

		OverloadRun(int questions) {
			this.questions = questions;
			this.dispatcher.onRouteTable(RoutingFixtures.table(ContentionSimulation.route(0),
					ContentionSimulation.route(1), ContentionSimulation.route(2)), 0);
			this.dispatcher.onFleet(RoutingFixtures.fleet(IntStream.range(0, ENGINES)
				.mapToObj((engine) -> (engine < 5) ? RoutingFixtures.engine("engine-" + engine)
						: RoutingFixtures.engine("engine-" + engine, "donan-a", "donan", 1))
				.toArray(Upstream[]::new)), 0);
		}

		List<String> run() {
			for (long nowMillis = 0; nowMillis < 9_500; nowMillis += 5) {
				if (nowMillis % 100 == 0) {
					report(nowMillis);
				}
				while (!this.running.isEmpty() && this.running.peek().endMillis() <= nowMillis) {
					this.dispatcher.recordEnd(this.running.poll().placement(), Outcome.ANSWERED, nowMillis);
					collect(nowMillis);
				}
				if (this.questions > 0 && nowMillis % 50 == 0) {
					answer(call("other", 0, Set.of()), nowMillis);
				}
				boolean overload = nowMillis > 2_000 && nowMillis < 9_000;
				if (this.random.nextDouble() < (overload ? 0.9 : 0.25)) {
					offer(nowMillis);
				}
				if (nowMillis % 40 == 0) {
					this.dispatcher.onTick(nowMillis);
				}
				collect(nowMillis);
			}
			return this.decisions;
		}

		private void report(long nowMillis) {
			for (int engine = 0; engine < ENGINES; engine++) {
				String id = "engine-" + engine;
				int load = (int) this.running.stream()
					.filter((call) -> call.placement().upstream().id().equals(id))
					.count();
				this.dispatcher.onReport(id,
						new UpstreamReport(id, load, 0, false, 2, true, 0, new LoadedWeights("model", 1, 0, 16)),
						nowMillis);
			}
		}

		private void offer(long nowMillis) {
			int number = this.decisions.size();
			boolean bound = isBoundOnly(nowMillis) || number % 7 == 0;
			CallRequirements requirements = call("call-" + number, this.random.nextInt(3),
					bound ? Set.of("doto") : Set.of());
			String answer = "";
			for (int question = 0; question < this.questions; question++) {
				answer = answer(requirements, nowMillis);
			}
			String decision = decide(requirements, nowMillis);
			this.decisions.add(decision);
			if (this.questions > 0 && !answer.equals(decision)) {
				this.wrongAnswers.add(nowMillis + ": " + answer + " instead of " + decision);
			}
		}

		private CallRequirements call(String id, int priority, Set<String> regions) {
			return new CallRequirements(id, RoutingFixtures.ENGINE_SERVICE, regions,
					"workspace-" + Math.floorMod(id.hashCode(), 3), priority, CallRequirements.QueueClass.ON_TIME, true,
					new CallCost(400, 100), OptionalLong.empty(), Set.of());
		}

		/**
		 * Whether no call may leave the region, long enough for the sending to other data
		 * centres to begin anew, unless questions keep it in use.
		 */
		private static boolean isBoundOnly(long nowMillis) {
			return nowMillis > 5_000 && nowMillis < 7_500;
		}

		private String answer(CallRequirements requirements, long nowMillis) {
			PlacementExplanation explanation = this.dispatcher.explain(requirements, WAIT_MILLIS, LEFT_MILLIS,
					nowMillis);
			explanation.upstreams()
				.forEach((upstream) -> Optional.ofNullable(upstream.excluded()).ifPresent(this.seen::add));
			if (explanation.refusal() != null) {
				return explanation.refusal() + " " + explanation.retryAfterMillis();
			}
			return (explanation.upstream() != null) ? explanation.upstream() + " " + explanation.spillover() : "queued";
		}

		private String decide(CallRequirements requirements, long nowMillis) {
			Optional<PlacementRefusal> refusal = this.dispatcher.refusal(requirements, WAIT_MILLIS, nowMillis);
			Optional<QueuedCall> queuedCall = refusal.isPresent() ? Optional.empty()
					: this.dispatcher.offer(requirements, WAIT_MILLIS, nowMillis);
			if (queuedCall.isEmpty()) {
				return refusal.orElse(PlacementRefusal.QUEUE_FULL) + " "
						+ this.dispatcher.retryAfterMillis(requirements, LEFT_MILLIS, nowMillis);
			}
			this.waiting.add(queuedCall.get());
			return RoutingFixtures.placementOf(queuedCall.get())
				.map((placement) -> placement.upstream().id() + " " + placement.spillover())
				.orElse("queued");
		}

		private void collect(long nowMillis) {
			this.waiting.removeIf((queuedCall) -> {
				if (queuedCall.placement().isCancelled()) {
					return true;
				}
				Optional<Placement> placement = RoutingFixtures.placementOf(queuedCall);
				placement.ifPresent((found) -> this.running
					.add(new Running(found, nowMillis + Math.round(300 * (0.5 + this.random.nextDouble())))));
				boolean overdue = placement.isEmpty() && nowMillis - queuedCall.enqueuedMillis() >= WAIT_MILLIS;
				return placement.isPresent() || (overdue && this.dispatcher.dequeue(queuedCall));
			});
		}

		private record Running(Placement placement, long endMillis) implements Comparable<Running> {

			@Override
			public int compareTo(Running other) {
				return Long.compare(this.endMillis, other.endMillis);
			}

		}

	}

}
