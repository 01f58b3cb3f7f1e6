package org.jaywood.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against gateways whose cost grows with the fleet, engines to which no gateway
 * subscribes, and a change of one engine that moves the calls of all others.
 */
class UpstreamSubsetTests {

	private static List<Upstream> engines(int dataCentres, int enginesEach, int seed) {
		return IntStream.range(0, dataCentres)
			.boxed()
			.flatMap((dataCentre) -> IntStream.range(0, enginesEach)
				.mapToObj((number) -> engine(dataCentre, number, seed)))
			.toList();
	}

	private static Upstream engine(int dataCentre, int number, int seed) {
		String id = seed + "-" + dataCentre + "-" + number;
		return new Upstream(id, RoutingFixtures.ENGINE_SERVICE,
				new Address("10." + dataCentre + "." + seed + "." + number, 80), "dc-" + dataCentre,
				"region-" + dataCentre, RoutingFixtures.SLOTS, false, 0, 1, new LoadedWeights("model", 1, 0, 16));
	}

	private static Set<Upstream> subset(int gateway, int dataCentre, List<Upstream> engines) {
		return new UpstreamSubset("gateway-" + dataCentre + "-" + gateway, "dc-" + dataCentre).select(engines);
	}

	@Property(tries = 100, seed = "1")
	void subsetIsBoundedAndCoversSeveralDataCentres(@ForAll @IntRange(min = 2, max = 18) int dataCentres,
			@ForAll @IntRange(min = 1, max = 90) int enginesEach, @ForAll @IntRange(max = 250) int seed) {
		List<Upstream> engines = engines(dataCentres, enginesEach, seed);
		Set<Upstream> subset = subset(0, 0, engines);
		assertThat(subset.size()).isEqualTo(Math.min(engines.size(), UpstreamSubset.MAX_ENGINES));
		assertThat(subset.stream().map(Upstream::dataCentre).distinct().count()).isAtLeast(2);
	}

	@Property(tries = 100, seed = "2")
	void removedEngineIsReplacedByAtMostOneOther(@ForAll @IntRange(min = 2, max = 18) int dataCentres,
			@ForAll @IntRange(min = 2, max = 40) int enginesEach, @ForAll @IntRange(max = 250) int seed) {
		List<Upstream> engines = engines(dataCentres, enginesEach, seed);
		Set<Upstream> before = subset(0, 0, engines);
		List<Upstream> remaining = new ArrayList<>(engines);
		remaining.remove(Math.floorMod(seed, engines.size()));
		Set<Upstream> added = new HashSet<>(subset(0, 0, remaining));
		added.removeAll(before);
		assertThat(added.size()).isAtMost(1);
	}

	@Property(tries = 50, seed = "3")
	void everyEngineIsSelectedByAFewGateways(@ForAll @IntRange(min = 4, max = 8) int gatewaysEach,
			@ForAll @IntRange(max = 250) int seed) {
		int dataCentres = 5;
		List<Upstream> engines = engines(dataCentres, 13, seed);
		Map<String, Integer> subscribers = new HashMap<>();
		IntStream.range(0, dataCentres)
			.forEach((dataCentre) -> IntStream.range(0, gatewaysEach)
				.forEach((gateway) -> subset(gateway, dataCentre, engines)
					.forEach((engine) -> subscribers.merge(engine.id(), 1, Integer::sum))));
		double mean = (double) dataCentres * gatewaysEach * UpstreamSubset.MAX_ENGINES / engines.size();
		assertThat(subscribers.keySet()).hasSize(engines.size());
		assertThat((double) subscribers.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
			.isAtMost(2.5 * mean);
	}

	@Property(tries = 20, seed = "4")
	void subsetIsFullWhenOwnDataCentreHasNoEngines(@ForAll @IntRange(min = 2, max = 6) int dataCentres,
			@ForAll @IntRange(max = 250) int seed) {
		List<Upstream> remoteEngines = engines(dataCentres, 30, seed).stream()
			.filter((engine) -> !engine.dataCentre().equals("dc-0"))
			.collect(Collectors.toList());
		assertThat(subset(0, 0, remoteEngines)).hasSize(UpstreamSubset.MAX_ENGINES);
	}

}
