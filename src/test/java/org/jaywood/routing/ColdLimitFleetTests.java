package org.jaywood.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways that together send a cold engine more calls in a second than it
 * tolerates.
 */
class ColdLimitFleetTests {

	/** Cold rate of the service profile times coldOverage plus coldSlack. */
	private static final int COLD_LIMIT = 36 * 3 / 2 + 5;

	private static final int STEP_MILLIS = 25;

	private static final int SECOND_MILLIS = 1_000;

	/** Time before the loss of power, and time after it that is simulated. */
	private static final int PHASE_MILLIS = 9_000;

	private static final int POWER_LOSS_MILLIS = PHASE_MILLIS;

	private static final int CONNECT_MILLIS = 200;

	private static final int REPORT_INTERVAL_MILLIS = 250;

	private static final int QUEUED_CALLS = 60;

	/**
	 * Guards against gateways that each take the share of a small fleet at their start.
	 */
	@Test
	void gatewaysThatStartTogetherStayWithinColdLimit() {
		Simulation simulation = new Simulation(12, new Random(1));
		simulation.restart(0, 0);
		assertThat(simulation.maxCallsInASecond()).isAtMost(COLD_LIMIT);
	}

	/**
	 * Guards against gateways that take the shares of those that have reached the agent,
	 * while others are still to start.
	 */
	@Test
	void gatewaysThatStartInTwoGroupsStayWithinColdLimit() {
		Simulation simulation = new Simulation(24, new Random(1));
		simulation.restartInTwoGroups(2_500);
		assertThat(simulation.maxCallsInASecond()).isAtMost(COLD_LIMIT);
	}

	/** Guards against a limit that is kept by sending hardly anything. */
	@Test
	void settledGatewaysUseMostOfColdLimit() {
		Simulation simulation = new Simulation(4, new Random(1));
		simulation.restart(0, 0);
		assertThat(simulation.callsInLastSecond()).isAtLeast((int) (0.7 * COLD_LIMIT));
	}

	@Property(tries = 200, seed = "1")
	void gatewaysStayWithinColdLimitAfterLossOfPower(@ForAll @IntRange(min = 2, max = 24) int gateways,
			@ForAll @IntRange(max = 24) int survivors, @ForAll @IntRange(max = 4_000) int spreadMillis,
			@ForAll @IntRange(max = 1_000_000) int seed) {
		Simulation simulation = new Simulation(gateways, new Random(seed));
		simulation.restart(Math.min(survivors, gateways), spreadMillis);
		assertThat(simulation.maxCallsInASecond()).isAtMost(COLD_LIMIT);
	}

	/**
	 * One gateway with endless demand.
	 */
	private static final class SimulatedGateway {

		private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

		private final int connectedMillis;

		private final int startedMillis;

		private final List<QueuedCall> queue = new ArrayList<>();

		SimulatedGateway(int startMillis, int agentStartMillis, Random random) {
			this.startedMillis = startMillis;
			this.connectedMillis = Math.max(startMillis, agentStartMillis) + CONNECT_MILLIS
					+ random.nextInt(CONNECT_MILLIS);
			this.dispatcher.onRouteTable(RoutingFixtures.table(), startMillis);
		}

		int place(int nowMillis) {
			this.dispatcher.onTick(nowMillis);
			IntStream.range(this.queue.size(), QUEUED_CALLS)
				.forEach((index) -> this.queue.add(this.dispatcher
					.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), nowMillis)));
			List<QueuedCall> placed = this.queue.stream()
				.filter((queuedCall) -> queuedCall.placement().isDone())
				.toList();
			this.queue.removeAll(placed);
			placed.stream()
				.flatMap((queuedCall) -> RoutingFixtures.placementOf(queuedCall).stream())
				.forEach((placement) -> this.dispatcher.recordEnd(placement, Outcome.ANSWERED, nowMillis));
			return placed.size();
		}

	}

	/**
	 * A fleet that runs, loses power, and comes back one gateway after the other beside
	 * an engine that is cold.
	 */
	private static final class Simulation {

		private final int gatewayCount;

		private final Random random;

		private final int[] callsByStep = new int[2 * PHASE_MILLIS / STEP_MILLIS];

		Simulation(int gatewayCount, Random random) {
			this.gatewayCount = gatewayCount;
			this.random = random;
		}

		/**
		 * Plays a loss of power.
		 * @param survivors gateways that keep running; the others start anew
		 * @param spreadMillis time over which the others start
		 */
		void restart(int survivors, int spreadMillis) {
			List<SimulatedGateway> before = gateways(this.gatewayCount, 0, 0);
			run(before, engine("a", 1, 0), 0, 0);
			List<SimulatedGateway> kept = before.subList(0, survivors);
			List<SimulatedGateway> started = gateways(this.gatewayCount - survivors, POWER_LOSS_MILLIS, spreadMillis);
			run(Stream.concat(kept.stream(), started.stream()).toList(), engine("b", 2, 3_000), POWER_LOSS_MILLIS,
					POWER_LOSS_MILLIS + this.random.nextInt(2_000));
		}

		/**
		 * Plays a loss of power after which half of the gateways start later.
		 */
		void restartInTwoGroups(int gapMillis) {
			int half = this.gatewayCount / 2;
			run(Stream
				.concat(gateways(half, POWER_LOSS_MILLIS, 0).stream(),
						gateways(half, POWER_LOSS_MILLIS + gapMillis, 0).stream())
				.toList(), engine("b", 2, 3_000), POWER_LOSS_MILLIS, POWER_LOSS_MILLIS);
		}

		private List<SimulatedGateway> gateways(int count, int fromMillis, int spreadMillis) {
			return IntStream.range(0, count)
				.mapToObj((index) -> new SimulatedGateway(fromMillis + this.random.nextInt(spreadMillis + 1),
						fromMillis, this.random))
				.toList();
		}

		private void run(List<SimulatedGateway> gateways, Upstream engine, int fromMillis, int agentStartMillis) {
			Set<SimulatedGateway> informed = new HashSet<>();
			for (int nowMillis = fromMillis; nowMillis < fromMillis + PHASE_MILLIS; nowMillis += STEP_MILLIS) {
				int now = nowMillis;
				List<SimulatedGateway> running = gateways.stream()
					.filter((gateway) -> gateway.startedMillis <= now)
					.toList();
				running.stream()
					.filter(informed::add)
					.forEach((gateway) -> gateway.dispatcher.onFleet(RoutingFixtures.fleet(engine), now));
				if (now >= agentStartMillis && now % REPORT_INTERVAL_MILLIS == 0) {
					report(running, engine, now, agentStartMillis);
				}
				this.callsByStep[now / STEP_MILLIS] = running.stream().mapToInt((gateway) -> gateway.place(now)).sum();
			}
		}

		private static void report(List<SimulatedGateway> running, Upstream engine, int nowMillis,
				int agentStartMillis) {
			List<SimulatedGateway> subscribers = running.stream()
				.filter((gateway) -> Math.max(gateway.connectedMillis, agentStartMillis + CONNECT_MILLIS) <= nowMillis)
				.toList();
			UpstreamReport report = new UpstreamReport(engine.id(), 0, 0, false, subscribers.size(), true, 0,
					engine.weights());
			subscribers.forEach((gateway) -> gateway.dispatcher.onReport(engine.id(), report, nowMillis));
		}

		int maxCallsInASecond() {
			int steps = SECOND_MILLIS / STEP_MILLIS;
			return IntStream.rangeClosed(POWER_LOSS_MILLIS / STEP_MILLIS, this.callsByStep.length - steps)
				.map((first) -> IntStream.range(first, first + steps).map((step) -> this.callsByStep[step]).sum())
				.max()
				.orElseThrow();
		}

		int callsInLastSecond() {
			return IntStream.range(this.callsByStep.length - SECOND_MILLIS / STEP_MILLIS, this.callsByStep.length)
				.map((step) -> this.callsByStep[step])
				.sum();
		}

		private static Upstream engine(String id, long bornMillis, long coldMillis) {
			return new Upstream(id, RoutingFixtures.ENGINE_SERVICE, RoutingFixtures.engine(id).address(), "kushiro-a",
					"doto", 500, false, coldMillis, bornMillis, new LoadedWeights("model", 1, 0, 16));
		}

	}

}
