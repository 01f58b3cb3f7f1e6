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
 * @param share share of the engines that may get calls which is followed, 1 if there are
 * none
 */
record SubscribedEngines(Set<String> ids, double share) {

	static final SubscribedEngines NONE = new SubscribedEngines(Set.of(), 1);

	/**
	 * Chooses a part of the engines that may get calls, and near ones whether they may or
	 * not, so that their agents keep a gateway.
	 */
	static SubscribedEngines choose(UpstreamSubset subset, RouteTable table, Fleet fleet) {
		Map<String, List<Upstream>> engines = fleet.current()
			.values()
			.stream()
			.filter((upstream) -> table.service(upstream.service())
				.filter(ServiceProfile.Engines.class::isInstance)
				.isPresent())
			.collect(Collectors.groupingBy(Upstream::service));
		List<List<Upstream>> open = engines.values().stream().map((list) -> open(list, fleet)).toList();
		List<Upstream> chosen = open.stream().map(subset::of).flatMap(Set::stream).toList();
		Stream<Upstream> near = engines.values().stream().map(subset::near).flatMap(Set::stream);
		Set<String> ids = Stream.concat(chosen.stream(), near).map(Upstream::id).collect(Collectors.toSet());
		int openCount = open.stream().mapToInt(List::size).sum();
		return new SubscribedEngines(ids, (openCount > 0) ? (double) chosen.size() / openCount : 1);
	}

	private static List<Upstream> open(Collection<Upstream> engines, Fleet fleet) {
		return engines.stream()
			.filter((engine) -> !engine.leaving() && !fleet.closedDataCentres().contains(engine.dataCentre()))
			.toList();
	}

}
