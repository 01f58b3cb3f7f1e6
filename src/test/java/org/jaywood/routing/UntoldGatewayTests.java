package org.jaywood.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a gateway that starts and sends many calls to an engine, before a
 * response tells it of the limit that the other gateways keep.
 */
class UntoldGatewayTests {

	private static final long NOW = 100_000;

	private static final int SLOTS = 16;

	/**
	 * Calls before the first response: its share of the engine, of which one call may
	 * wait for a slot, with as many gateways as are assumed before a report.
	 */
	private static final int FIRST_CALLS = 1 + (SLOTS + 1) / 4;

	private static Upstream engine() {
		return new Upstream("a", RoutingFixtures.ENGINE_SERVICE, RoutingFixtures.engine("a").address(), "kushiro-a",
				"doto", SLOTS, false, 0, 1, new LoadedWeights("model", 1, 0, 16));
	}

	@Test
	void aGatewayThatHasNoResponseYetSendsFewCalls() {
		Dispatcher started = new Dispatcher(RoutingFixtures.settings());
		started.onRouteTable(RoutingFixtures.table(), NOW);
		started.onFleet(RoutingFixtures.fleet(engine()), NOW);
		List<QueuedCall> calls = IntStream.range(0, 40)
			.mapToObj((number) -> started.enqueue(RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false),
					NOW))
			.toList();
		started.onReport("a", new UpstreamReport("a", 0, 0, false, 5, true, 0, new LoadedWeights("model", 1, 0, 16)),
				NOW + 10);
		long placed = calls.stream().filter((call) -> RoutingFixtures.placementOf(call).isPresent()).count();
		assertThat(placed).isAtMost(FIRST_CALLS);
	}

}
