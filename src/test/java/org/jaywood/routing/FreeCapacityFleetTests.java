package org.jaywood.routing;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine with free capacity that each gateway fills by its own view.
 */
class FreeCapacityFleetTests {

	private static final long NOW = 100_000;

	private static final int CAPACITY = RoutingFixtures.SLOTS + 1;

	private static final int QUEUED_CALLS = 40;

	/** Time in which reports show no call that was sent in it. */
	private static final long BLIND_MILLIS = 350;

	private static List<Dispatcher> gateways(int count) {
		return IntStream.range(0, count).mapToObj((number) -> {
			Dispatcher dispatcher = new Dispatcher(RoutingFixtures.settings());
			dispatcher.onRouteTable(RoutingFixtures.table(), NOW);
			dispatcher.onFleet(RoutingFixtures.fleet(RoutingFixtures.engine("a")), NOW);
			return dispatcher;
		}).toList();
	}

	private static void report(List<Dispatcher> gateways, int running, long nowMillis) {
		UpstreamReport report = new UpstreamReport("a", running, 0, false, gateways.size(), true, 0,
				new LoadedWeights("model", 1, 0, 16));
		gateways.forEach((gateway) -> gateway.onReport("a", report, nowMillis));
	}

	private static List<QueuedCall> queue(Dispatcher gateway) {
		return IntStream.range(0, QUEUED_CALLS)
			.mapToObj((number) -> gateway.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false),
					NOW))
			.toList();
	}

	private static long placed(List<QueuedCall> calls) {
		return calls.stream().filter((call) -> RoutingFixtures.placementOf(call).isPresent()).count();
	}

	@Property(tries = 50, seed = "1")
	void gatewaysTogetherFillWhatIsFree(@ForAll @IntRange(min = 1, max = 24) int count,
			@ForAll @IntRange(min = 0, max = CAPACITY) int running) {
		List<Dispatcher> gateways = gateways(count);
		report(gateways, running, NOW);
		List<QueuedCall> calls = gateways.stream().flatMap((gateway) -> queue(gateway).stream()).toList();
		LongStream.iterate(NOW + 50, (millis) -> millis < NOW + BLIND_MILLIS, (millis) -> millis + 50)
			.forEach((millis) -> report(gateways, running, millis));
		assertThat(placed(calls)).isAtMost(Math.max(CAPACITY - running, 0) + count);
	}

	@Test
	void endOfACallMakesRoomAtOnce() {
		List<Dispatcher> gateways = gateways(4);
		report(gateways, CAPACITY - 1, NOW);
		List<QueuedCall> calls = queue(gateways.getFirst());
		assertThat(placed(calls)).isEqualTo(1);
		gateways.getFirst()
			.recordEnd(RoutingFixtures.placementOf(calls.getFirst()).orElseThrow(), Outcome.ANSWERED, NOW + 100);
		assertThat(placed(calls)).isEqualTo(2);
	}

	@Test
	void singleGatewayFillsAllThatIsFree() {
		List<Dispatcher> gateways = gateways(1);
		report(gateways, 0, NOW);
		assertThat(placed(queue(gateways.getFirst()))).isEqualTo(CAPACITY);
	}

}
