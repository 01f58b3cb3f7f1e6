package org.jaywood.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The engines whose agents report to a gateway.
 *
 * @param ids ids of their entries
 * @param share subscribed share of the engines that may get calls, 1 if there are none
 */
record SubscribedEngines(Set<String> ids, double share) {

	static final SubscribedEngines NONE = new SubscribedEngines(Set.of(), 1);

	/**
	 * Chooses some of the engines that may get calls, and local ones whether or not they
	 * may get calls, so that their agents keep a gateway.
	 */
	static SubscribedEngines choose(UpstreamSubset subset, RouteTable table, Fleet fleet) {
		Map<String, List<Upstream>> engines = fleet.currentUpstreams()
			.values()
			.stream()
			.filter((upstream) -> table.service(upstream.service())
				.filter(ServiceProfile.Engines.class::isInstance)
				.isPresent())
			.collect(Collectors.groupingBy(Upstream::service));
		List<List<Upstream>> eligible = engines.values().stream().map((list) -> eligible(list, fleet)).toList();
		List<Upstream> selected = eligible.stream().map(subset::select).flatMap(Set::stream).toList();
		Stream<Upstream> local = engines.values().stream().map(subset::selectLocal).flatMap(Set::stream);
		Set<String> ids = Stream.concat(selected.stream(), local).map(Upstream::id).collect(Collectors.toSet());
		int eligibleCount = eligible.stream().mapToInt(List::size).sum();
		return new SubscribedEngines(ids, (eligibleCount > 0) ? (double) selected.size() / eligibleCount : 1);
	}

	private static List<Upstream> eligible(Collection<Upstream> engines, Fleet fleet) {
		return engines.stream()
			.filter((engine) -> !engine.leaving() && !fleet.closedDataCentres().contains(engine.dataCentre()))
			.toList();
	}

}
