package org.jaywood.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against many calls on the path to an engine that looks idle, because calls sent
 * before have not arrived there.
 */
class SlowPathTests {

	private static final long NOW = 100_000;

	/** Time after the last sign of a slow path, when it is no longer the last choice. */
	private static final long LATER = NOW + 5_000;

	private final Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());

	/**
	 * Three calls that engine a does not report 800 ms later, and that end without an
	 * answer.
	 */
	SlowPathTests() {
		this.dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
		this.dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
		reportIdle(NOW);
		List<Placement> undelivered = placed(enqueue(3, NOW));
		reportIdle(NOW + 800);
		undelivered.forEach((placement) -> this.dispatcher.recordEnd(placement, Outcome.CANCELLED, NOW + 1_500));
		reportIdle(LATER);
	}

	private void reportIdle(long nowMillis) {
		this.dispatcher.onReport("a",
				new UpstreamReport("a", 0, 0, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16)), nowMillis);
	}

	private List<QueuedCall> enqueue(int count, long nowMillis) {
		return IntStream.range(0, count)
			.mapToObj((number) -> this.dispatcher
				.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false), nowMillis))
			.toList();
	}

	private static List<Placement> placed(List<QueuedCall> calls) {
		return calls.stream().flatMap((call) -> RoutingFixtures.placementOf(call).stream()).toList();
	}

	@Test
	void oneCallAtATimeFindsOutWhetherThePathIsStillSlow() {
		assertThat(placed(enqueue(3, LATER))).hasSize(1);
	}

	@Test
	void anEngineGetsItsCallsAgainOnceOneHasBegunSoon() {
		List<QueuedCall> calls = enqueue(3, LATER);
		Placement first = placed(calls).getFirst();
		first.activity().onSent(LATER);
		first.activity().onProgress(LATER + 200);
		this.dispatcher.onTick(LATER + 200);
		assertThat(placed(calls)).hasSize(3);
	}

	@Test
	void aCallThatBeginsLateShowsThatThePathIsStillSlow() {
		List<QueuedCall> calls = enqueue(4, LATER);
		Placement first = placed(calls).getFirst();
		first.activity().onSent(LATER);
		first.activity().onProgress(LATER + 1_800);
		reportIdle(LATER + 1_800);
		assertThat(placed(calls)).hasSize(2);
	}

	@Test
	void aLateReportCastsDoubtOnThePathToTheEngineToo() {
		Dispatcher other = new Dispatcher(RoutingFixtures.settings());
		other.onRouteTable(RoutingFixtures.table(), NOW);
		other.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
		UpstreamReport idle = new UpstreamReport("a", 0, 0, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16));
		other.onReportDelay("a", NOW, NOW);
		other.onReport("a", idle, NOW);
		other.onReportDelay("a", NOW, NOW + 400);
		other.onReport("a", idle, NOW + 400);
		other.onReportDelay("a", NOW + 500, NOW + 500);
		other.onReport("a", idle, NOW + 500);
		long placed = IntStream.range(0, 3)
			.mapToObj((number) -> other.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false),
					NOW + 500))
			.filter((call) -> RoutingFixtures.placementOf(call).isPresent())
			.count();
		assertThat(placed).isEqualTo(1);
	}

}
