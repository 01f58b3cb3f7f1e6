package org.jaywood.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways that together send an engine more calls than it takes by its
 * responses, and against gateways that send it hardly any.
 */
class NamedLimitFleetTests {

	private static final int STEP_MILLIS = 25;

	/**
	 * Window of the users' rule, and when it begins to count: for the engine, and for a
	 * gateway that has seen a response with the limit.
	 */
	private static final int WINDOW_MILLIS = 4_000;

	private static final int TOLD_MILLIS = 500;

	private static final int NAMED_MILLIS = 5_000;

	private static final int CONTACT_MILLIS = 3_000;

	private static final int REPORT_INTERVAL_MILLIS = 250;

	private static final int RESPONSE_MILLIS = 200;

	private static int allowedCalls(double limitPerSecond) {
		return (int) (1.5 * limitPerSecond * WINDOW_MILLIS / 1_000 + 5);
	}

	@Property(tries = 100, seed = "1")
	void gatewaysTogetherStayWithinTheLimit(@ForAll @IntRange(min = 1, max = 16) int gateways,
			@ForAll @DoubleRange(min = 0, max = 40) double limit, @ForAll @IntRange(max = 16) int joining,
			@ForAll @IntRange(max = 1_000_000) int seed) {
		Simulation simulation = new Simulation(gateways, seed);
		simulation.run(NAMED_MILLIS, null);
		IntStream.range(0, Math.min(joining, 16 - gateways)).forEach((number) -> simulation.join());
		simulation.run(20_000, limit);
		assertThat(simulation.maxInWindow(NAMED_MILLIS + CONTACT_MILLIS)).isAtMost(allowedCalls(limit));
	}

	@Test
	void aGatewayThatEndsAndStartsAgainDoesNotRaiseTheSum() {
		Simulation simulation = new Simulation(4, 1);
		simulation.run(NAMED_MILLIS, null);
		simulation.run(6_000, 2.5);
		simulation.leave();
		simulation.run(2_000, 2.5);
		simulation.join();
		simulation.run(12_000, 2.5);
		assertThat(simulation.maxInWindow(NAMED_MILLIS + CONTACT_MILLIS)).isAtMost(allowedCalls(2.5));
	}

	@Test
	void gatewaysThatTheAgentDoesNotCountDoNotRaiseTheSum() {
		Simulation simulation = new Simulation(4, 1);
		simulation.run(NAMED_MILLIS, null);
		simulation.run(4_000, 2.5);
		simulation.disconnect(2);
		simulation.run(25_000, 2.5);
		assertThat(simulation.maxInWindow(NAMED_MILLIS + CONTACT_MILLIS)).isAtMost(allowedCalls(2.5));
	}

	@Test
	void halfACallASecondIsSharedByFourGatewaysOneAfterTheOther() {
		Simulation simulation = new Simulation(4, 1);
		simulation.run(NAMED_MILLIS, null);
		simulation.run(40_000, 0.5);
		assertThat(simulation.maxInWindow(NAMED_MILLIS + WINDOW_MILLIS)).isAtMost(4);
		assertThat(simulation.callsSince(NAMED_MILLIS + WINDOW_MILLIS)).isAtLeast(10);
	}

	@Test
	void limitOfZeroLeavesARareCallThatSeesItsEnd() {
		Simulation simulation = new Simulation(4, 1);
		simulation.run(NAMED_MILLIS, null);
		simulation.run(40_000, 0.0);
		assertThat(simulation.callsSince(NAMED_MILLIS + WINDOW_MILLIS)).isAtMost(10);
		assertThat(simulation.callsSince(NAMED_MILLIS + WINDOW_MILLIS)).isAtLeast(4);
	}

	/** Guards against a limit that is kept by sending hardly anything. */
	@Test
	void mostOfALimitIsUsed() {
		for (int gateways : new int[] { 1, 4, 16 }) {
			Simulation simulation = new Simulation(gateways, 1);
			simulation.run(NAMED_MILLIS, null);
			simulation.run(24_000, 8.0);
			int perSecond = simulation.callsSince(NAMED_MILLIS + WINDOW_MILLIS) / 20;
			assertThat(perSecond).isAtLeast((int) (0.6 * 8));
		}
	}

	/**
	 * What one gateway learns from responses.
	 */
	@Nested
	class Knowledge {

		private static final long NOW = 100_000;

		private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

		private final Upstream engine = RoutingFixtures.engine("a");

		Knowledge() {
			this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
			this.dispatcher.onFleet(RoutingFixtures.fleet(this.engine), NOW);
			report(NOW);
		}

		private void report(long nowMillis) {
			this.dispatcher.onReport("a", new UpstreamReport("a", 0, 0, false, 1, true, 0, this.engine.weights()),
					nowMillis);
		}

		private LimitChange limit(double perSecond, long placedMillis, long nowMillis) {
			return this.dispatcher.onLimit(this.engine, new LimitNotice.Limited(perSecond), placedMillis, nowMillis);
		}

		/**
		 * Makes calls, of which those that are placed are answered at once.
		 * @return how many were placed
		 */
		private long placed(int calls, long nowMillis) {
			report(nowMillis);
			List<Placement> placements = IntStream.range(0, calls)
				.mapToObj((number) -> this.dispatcher
					.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), nowMillis))
				.flatMap((call) -> RoutingFixtures.placementOf(call).stream())
				.toList();
			placements.forEach((placement) -> this.dispatcher.recordEnd(placement, Outcome.ANSWERED, nowMillis));
			return placements.size();
		}

		@Test
		void aResponseThatOvertookAnotherDoesNotRaiseTheLimit() {
			assertThat(limit(1, NOW, NOW + 500)).isEqualTo(LimitChange.BEGUN);
			assertThat(limit(9, NOW + 100, NOW + 600)).isEqualTo(LimitChange.NONE);
			assertThat(limit(9, NOW + 700, NOW + 800)).isEqualTo(LimitChange.CHANGED);
		}

		@Test
		void aLateResponseWithoutALimitDoesNotEndIt() {
			limit(1, NOW, NOW + 500);
			assertThat(this.dispatcher.onLimit(this.engine, new LimitNotice.None(), NOW + 100, NOW + 600))
				.isEqualTo(LimitChange.NONE);
			assertThat(this.dispatcher.onLimit(this.engine, new LimitNotice.None(), NOW + 600, NOW + 700))
				.isEqualTo(LimitChange.ENDED);
		}

		@Test
		void anUnreadableLimitChangesNothing() {
			limit(1, NOW, NOW + 500);
			assertThat(this.dispatcher.onLimit(this.engine, new LimitNotice.Unreadable(), NOW + 600, NOW + 700))
				.isEqualTo(LimitChange.NONE);
		}

		@Test
		void aNewIncarnationTakesNoLimitOver() {
			limit(0.5, NOW, NOW);
			Upstream restarted = new Upstream("a", this.engine.service(), this.engine.address(), "kushiro-a", "doto",
					RoutingFixtures.SLOTS, false, 0, 2, this.engine.weights());
			this.dispatcher.onFleet(RoutingFixtures.fleet(restarted), NOW + 10);
			assertThat(placed(3, NOW + 10)).isEqualTo(3);
		}

		@Test
		void callsSentBeforeTheLimitWasKnownCount() {
			assertThat(placed(4, NOW)).isEqualTo(4);
			limit(1, NOW, NOW + 200);
			assertThat(placed(1, NOW + 2_500)).isEqualTo(0);
		}

		@Test
		void loadReturnsSlowlyAfterTheEndOfALimit() {
			limit(1, NOW, NOW);
			this.dispatcher.onLimit(this.engine, new LimitNotice.None(), NOW + 10, NOW + 20);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			QueuedCall first = this.dispatcher.enqueue(requirements, NOW + 30);
			QueuedCall second = this.dispatcher.enqueue(requirements, NOW + 30);
			assertThat(second.placement().isDone()).isFalse();
			RoutingFixtures.placementOf(first).orElseThrow().activity().onProgress(NOW + 200);
			report(NOW + 3_000);
			assertThat(second.placement().isDone()).isTrue();
		}

		@Test
		void pauseHoldsUnderALimitToo() {
			limit(100, NOW, NOW);
			this.dispatcher.onPause(this.engine, 3_000, NOW);
			assertThat(placed(1, NOW + 2_000)).isEqualTo(0);
		}

		@Test
		void limitOfColdEnginesHoldsUnderALaxerOne() {
			limit(10_000, NOW, NOW);
			int coldCalls = (int) ((36 * 1.5 + 5) * 0.9);
			long placed = IntStream.range(0, 20).mapToLong((step) -> placed(5, NOW + 1_000 + step)).sum();
			assertThat(placed).isAtMost(coldCalls);
		}

		@Test
		void hedgesCountAndAreHeldBack() {
			limit(1, NOW, NOW);
			assertThat(placed(1, NOW + 5_000)).isEqualTo(1);
			assertThat(this.dispatcher
				.placeImmediately(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), NOW + 5_010)
				.isPresent()).isFalse();
		}

		@Test
		void aCallWithoutAShareInTimeIsRefusedAtOnceWithTheTimeOfTheNextShare() {
			limit(0.5, NOW, NOW);
			assertThat(placed(1, NOW + 5_000)).isEqualTo(1);
			CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
			assertThat(this.dispatcher.isRateLimited(requirements, 230, NOW + 5_100)).isTrue();
			assertThat(this.dispatcher.isRateLimited(requirements, 3_000, NOW + 5_100)).isFalse();
			assertThat(this.dispatcher.retryAfterMillis(requirements, 6_000, NOW + 5_100)).isAtLeast(2_000);
		}

	}

	/**
	 * Gateways with endless demand before one engine that answers each call after a while
	 * and names a limit.
	 */
	private static final class Simulation {

		private final Upstream engine = new Upstream("a", RoutingFixtures.ENGINE_SERVICE,
				RoutingFixtures.engine("a").address(), "kushiro-a", "doto", 50, false, 0, 1,
				new LoadedWeights("model", 1, 0, 16));

		private final Random random;

		private final List<SimulatedGateway> gateways = new ArrayList<>();

		private final List<Integer> arrivalsMillis = new ArrayList<>();

		private int started;

		private int nowMillis;

		Simulation(int gateways, int seed) {
			this.random = new Random(seed);
			IntStream.range(0, gateways).forEach((number) -> join());
		}

		void join() {
			Dispatcher dispatcher = new Dispatcher(
					new DispatchSettings("gateway-" + this.started++, "doto", "kushiro-a", 1.5, 5, 2_200, 7_000));
			dispatcher.onRouteTable(RoutingFixtures.table(), this.nowMillis);
			dispatcher.onFleet(RoutingFixtures.fleet(this.engine), this.nowMillis);
			this.gateways.add(new SimulatedGateway(dispatcher));
		}

		void leave() {
			this.gateways.removeFirst();
		}

		/**
		 * Ends the connections of the first gateways to the agent.
		 */
		void disconnect(int count) {
			this.gateways.subList(0, count).forEach((gateway) -> {
				gateway.connected = false;
				gateway.dispatcher.onAgentLost("a", AgentLoss.CLOSED);
			});
		}

		void run(int millis, Double limitPerSecond) {
			int endMillis = this.nowMillis + millis;
			for (; this.nowMillis < endMillis; this.nowMillis += STEP_MILLIS) {
				if (this.nowMillis % REPORT_INTERVAL_MILLIS == 0) {
					List<SimulatedGateway> connected = this.gateways.stream()
						.filter((gateway) -> gateway.connected)
						.toList();
					UpstreamReport report = new UpstreamReport("a", 0, 0, false, connected.size(), true, 0,
							this.engine.weights());
					connected.forEach((gateway) -> gateway.dispatcher.onReport("a", report, this.nowMillis));
				}
				LimitNotice notice = (limitPerSecond != null) ? new LimitNotice.Limited(limitPerSecond)
						: new LimitNotice.None();
				this.gateways.forEach((gateway) -> gateway.step(this, notice));
			}
		}

		long maxInWindow(int fromMillis) {
			return IntStream.iterate(fromMillis, (start) -> start < this.nowMillis, (start) -> start + STEP_MILLIS)
				.mapToLong((start) -> this.arrivalsMillis.stream()
					.filter((millis) -> millis >= start && millis < start + WINDOW_MILLIS)
					.count())
				.max()
				.orElse(0);
		}

		int callsSince(int fromMillis) {
			return (int) this.arrivalsMillis.stream().filter((millis) -> millis >= fromMillis).count();
		}

	}

	/**
	 * One gateway with endless demand.
	 */
	private static final class SimulatedGateway {

		private static final int QUEUED_CALLS = 5;

		private final Dispatcher dispatcher;

		private final List<QueuedCall> queue = new ArrayList<>();

		private final List<Placement> running = new ArrayList<>();

		private int toldMillis = Integer.MAX_VALUE / 2;

		private boolean connected = true;

		SimulatedGateway(Dispatcher dispatcher) {
			this.dispatcher = dispatcher;
		}

		void step(Simulation simulation, LimitNotice notice) {
			int now = simulation.nowMillis;
			this.dispatcher.onTick(now);
			List<Placement> ended = this.running.stream()
				.filter((placement) -> now - placement.placedMillis() >= RESPONSE_MILLIS)
				.toList();
			this.running.removeAll(ended);
			ended.forEach((placement) -> {
				this.dispatcher.onLimit(simulation.engine, notice, placement.placedMillis(), now);
				if (notice instanceof LimitNotice.Limited) {
					this.toldMillis = Math.min(this.toldMillis, now);
				}
				this.dispatcher.recordEnd(placement, Outcome.ANSWERED, now);
			});
			IntStream.range(this.queue.size(), QUEUED_CALLS)
				.forEach((index) -> this.queue.add(this.dispatcher
					.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), now)));
			List<QueuedCall> placed = this.queue.stream().filter((call) -> call.placement().isDone()).toList();
			this.queue.removeAll(placed);
			placed.stream().flatMap((call) -> RoutingFixtures.placementOf(call).stream()).forEach((placement) -> {
				this.running.add(placement);
				if (now - this.toldMillis >= TOLD_MILLIS) {
					simulation.arrivalsMillis.add(now + simulation.random.nextInt(100));
				}
			});
		}

	}

}
