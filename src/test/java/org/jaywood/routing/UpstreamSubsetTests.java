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
 * Guards against gateways whose cost grows with the fleet, engines that no gateway knows,
 * and a change of one engine that moves the calls of all others.
 */
class UpstreamSubsetTests {

	private static List<Upstream> fleet(int dataCentres, int enginesEach, int seed) {
		return IntStream.range(0, dataCentres)
			.boxed()
			.flatMap((dataCentre) -> IntStream.range(0, enginesEach)
				.mapToObj((number) -> engine(dataCentre, number, seed)))
			.toList();
	}

	private static Upstream engine(int dataCentre, int number, int seed) {
		String id = seed + "-" + dataCentre + "-" + number;
		return new Upstream(id, RoutingFixtures.POOL, new Address("10." + dataCentre + "." + seed + "." + number, 80),
				"dc-" + dataCentre, "region-" + dataCentre, RoutingFixtures.SLOTS, false, 0, 1,
				new LoadedWeights("model", 1, 0, 16));
	}

	private static Set<Upstream> subset(int gateway, int dataCentre, List<Upstream> fleet) {
		return new UpstreamSubset("gateway-" + dataCentre + "-" + gateway, "dc-" + dataCentre).of(fleet);
	}

	@Property(tries = 100, seed = "1")
	void aSubsetIsBoundedAndCoversSeveralDataCentres(@ForAll @IntRange(min = 2, max = 18) int dataCentres,
			@ForAll @IntRange(min = 1, max = 90) int enginesEach, @ForAll @IntRange(max = 250) int seed) {
		List<Upstream> fleet = fleet(dataCentres, enginesEach, seed);
		Set<Upstream> subset = subset(0, 0, fleet);
		assertThat(subset.size()).isEqualTo(Math.min(fleet.size(), UpstreamSubset.SIZE));
		assertThat(subset.stream().map(Upstream::dataCentre).distinct().count()).isAtLeast(2);
	}

	@Property(tries = 100, seed = "2")
	void anEngineThatLeavesIsReplacedByAtMostOneOther(@ForAll @IntRange(min = 2, max = 18) int dataCentres,
			@ForAll @IntRange(min = 2, max = 40) int enginesEach, @ForAll @IntRange(max = 250) int seed) {
		List<Upstream> fleet = fleet(dataCentres, enginesEach, seed);
		Set<Upstream> before = subset(0, 0, fleet);
		List<Upstream> rest = new ArrayList<>(fleet);
		rest.remove(Math.floorMod(seed, fleet.size()));
		Set<Upstream> added = new HashSet<>(subset(0, 0, rest));
		added.removeAll(before);
		assertThat(added.size()).isAtMost(1);
	}

	@Property(tries = 50, seed = "3")
	void eachEngineIsKnownAndNoneByMostGateways(@ForAll @IntRange(min = 4, max = 8) int gatewaysEach,
			@ForAll @IntRange(max = 250) int seed) {
		int dataCentres = 5;
		List<Upstream> fleet = fleet(dataCentres, 13, seed);
		Map<String, Integer> followers = new HashMap<>();
		IntStream.range(0, dataCentres)
			.forEach((dataCentre) -> IntStream.range(0, gatewaysEach)
				.forEach((gateway) -> subset(gateway, dataCentre, fleet)
					.forEach((engine) -> followers.merge(engine.id(), 1, Integer::sum))));
		double mean = (double) dataCentres * gatewaysEach * UpstreamSubset.SIZE / fleet.size();
		assertThat(followers.keySet()).hasSize(fleet.size());
		assertThat((double) followers.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
			.isAtMost(2.5 * mean);
	}

	@Property(tries = 20, seed = "4")
	void aDataCentreWithoutEnginesIsNoHindrance(@ForAll @IntRange(min = 2, max = 6) int dataCentres,
			@ForAll @IntRange(max = 250) int seed) {
		List<Upstream> elsewhere = fleet(dataCentres, 30, seed).stream()
			.filter((engine) -> !engine.dataCentre().equals("dc-0"))
			.collect(Collectors.toList());
		assertThat(subset(0, 0, elsewhere)).hasSize(UpstreamSubset.SIZE);
	}

}
