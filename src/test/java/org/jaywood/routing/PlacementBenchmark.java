package org.jaywood.routing;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.wire.Address;

/**
 * Measures the time of one placement by number of engines, by the number of calls and by
 * the measured speeds of engines. Run by hand with {@code -Dtest}; it checks nothing.
 */
class PlacementBenchmark {

	private static final int ROUNDS = 2_000;

	/** Time between two calls, in which no engine reaches its limit. */
	private static final long ROUND_MILLIS = 20;

	private static Upstream engine(int number) {
		String dataCentre = List.of("a", "b", "c").get(number % 3);
		return new Upstream("engine-" + number, RoutingFixtures.ENGINE_SERVICE,
				new Address("10." + (number / 40_000) + "." + (number / 200 % 200) + "." + (number % 200 + 1), 80),
				dataCentre, "region-" + dataCentre, 12, false, 0, 1, new LoadedWeights("model", 1, 0, 16));
	}

	private static double micros(int engines, EngineRanking ranking, DataCentreChoice choice) {
		Dispatcher dispatcher = new Dispatcher(new DispatchSettings("gateway", "region-a", "a", 1.5, 5, 2_200, 7_000),
				ranking, choice);
		dispatcher.onRouteTable(RoutingFixtures.table(), 0);
		dispatcher.onFleet(RoutingFixtures
			.fleet(IntStream.range(0, engines).mapToObj((number) -> engine(number)).toArray(Upstream[]::new)), 0);
		CallRequirements requirements = RoutingFixtures.requirements(RoutingFixtures.ENGINE_SERVICE, false);
		long totalNanos = 0;
		for (int round = 0; round < 2 * ROUNDS; round++) {
			long nowMillis = ROUND_MILLIS * round;
			report(dispatcher, nowMillis);
			long startNanos = System.nanoTime();
			Placement placement = RoutingFixtures.placementOf(dispatcher.enqueue(requirements, nowMillis))
				.orElseThrow();
			totalNanos += (round < ROUNDS) ? 0 : System.nanoTime() - startNanos;
			// Every third engine is four times as slow as the others.
			long stepMillis = (Math.floorMod(placement.upstream().id().hashCode(), 3) == 0) ? 200 : 50;
			placement.activity().onSent(nowMillis);
			LongStream.rangeClosed(1, 4).map((step) -> nowMillis + step * stepMillis).forEach((millis) -> {
				placement.activity().onProgress(millis);
				placement.activity().onForwarded(millis);
			});
			dispatcher.recordEnd(placement, Outcome.ANSWERED, nowMillis);
		}
		return totalNanos / 1_000.0 / ROUNDS;
	}

	private static void report(Dispatcher dispatcher, long nowMillis) {
		dispatcher.subscribedEngines()
			.values()
			.forEach((id) -> dispatcher.onReport(id,
					new UpstreamReport(id, 4, 0, false, 1, true, 0, new LoadedWeights("model", 1, 0, 16)), nowMillis));
	}

	@ParameterizedTest
	@ValueSource(ints = { 10, 100, 1_000 })
	void measure(int engines) {
		System.out.printf("engines=%d byCallsMicros=%.1f byWorkMicros=%.1f%n", engines,
				micros(engines, new LoadRanking(), DataCentreChoice.ANY),
				micros(engines, new WorkRanking(), new SpilloverPolicy()));
	}

}
