package org.jaywood.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Selects the engines to which a gateway subscribes: their agents report to it, and they
 * get its calls while they have free capacity. Designed for many gateways and many
 * engines, where the reports of all engines to all gateways would cost more than the
 * calls. The selection depends on names alone: engines of the own data centre first, then
 * those of the other data centres in turn, so that a gateway always knows engines of
 * several. A gateway or an engine that joins or leaves changes little.
 */
final class UpstreamSubset {

	/** Largest number of engines of a service that are selected. */
	static final int MAX_ENGINES = 20;

	/** Number of them that are reserved for other data centres. */
	static final int REMOTE_ENGINES = 8;

	private static final Hasher64 HASH = Hashing.xxh3_64();

	private final String gateway;

	private final String dataCentre;

	/**
	 * Creates the selection of one gateway.
	 * @param gateway name of the gateway, by which gateways are spread over engines
	 * @param dataCentre its data centre
	 */
	UpstreamSubset(String gateway, String dataCentre) {
		this.gateway = gateway;
		this.dataCentre = dataCentre;
	}

	/**
	 * Selects among the engines of one service.
	 * @param engines engines that may get calls
	 * @return all of them if there are at most {@link #MAX_ENGINES}, else that many
	 */
	Set<Upstream> select(Collection<Upstream> engines) {
		if (engines.size() <= MAX_ENGINES) {
			return Set.copyOf(engines);
		}
		Map<String, List<Upstream>> byDataCentre = engines.stream()
			.sorted(Comparator.comparingLong(this::hashRank))
			.collect(Collectors.groupingBy(Upstream::dataCentre, TreeMap::new, Collectors.toList()));
		List<Upstream> local = byDataCentre.getOrDefault(this.dataCentre, List.of());
		byDataCentre.remove(this.dataCentre);
		List<Upstream> remote = interleaved(byDataCentre.values());
		int localCount = Math.min(local.size(), Math.max(MAX_ENGINES - REMOTE_ENGINES, MAX_ENGINES - remote.size()));
		return Stream.concat(local.stream().limit(localCount), remote.stream().limit(MAX_ENGINES - localCount))
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Selects among the engines of the own data centre, so that their agents know this
	 * gateway even while they get no calls.
	 */
	Set<Upstream> selectLocal(Collection<Upstream> engines) {
		return engines.stream()
			.filter((engine) -> engine.dataCentre().equals(this.dataCentre))
			.sorted(Comparator.comparingLong(this::hashRank))
			.limit(MAX_ENGINES - REMOTE_ENGINES)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the first engine of each data centre, then the second of each, and so on.
	 * Gateways start with different data centres.
	 */
	private List<Upstream> interleaved(Collection<List<Upstream>> dataCentres) {
		List<List<Upstream>> lists = dataCentres.stream()
			.sorted(Comparator.comparingLong((list) -> hash(list.getFirst().dataCentre())))
			.toList();
		int longest = lists.stream().mapToInt(List::size).max().orElse(0);
		return IntStream.range(0, longest)
			.boxed()
			.flatMap((index) -> lists.stream().filter((list) -> index < list.size()).map((list) -> list.get(index)))
			.toList();
	}

	private long hashRank(Upstream engine) {
		return hash(engine.address().toString());
	}

	private long hash(String name) {
		return HASH.hashCharsToLong(this.gateway + "/" + name);
	}

}
