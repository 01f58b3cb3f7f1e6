package org.jaywood.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.Upstream;

/**
 * Decides from whom an agent asks for a piece. While engines serve the version already,
 * the near ones among them share the work. A new version spreads along a chain for each
 * piece: through all agents of the region of the origin, and from the first of each
 * region to the next region. So one copy leaves the origin, one crosses into each other
 * region, and each agent sends about one copy, which takes the time in which its link
 * receives one.
 */
final class SourcePlan {

	private static final Hasher64 HASH = Hashing.xxh3_64();

	private final Upstream own;

	private final List<Upstream> engines;

	private final NamedWeights target;

	private final Map<String, List<Upstream>> byRegion;

	private final String originRegion;

	/**
	 * Creates a plan.
	 * @param own the engine of this agent
	 * @param engines all engines of the service; an older entry of the own one is ignored
	 * @param target version wanted
	 * @param originRegion region of the origin
	 */
	SourcePlan(Upstream own, List<Upstream> engines, NamedWeights target, String originRegion) {
		this.own = own;
		this.engines = engines.stream().filter((engine) -> !engine.id().equals(own.id())).toList();
		this.target = target;
		this.byRegion = Stream.concat(Stream.of(own), this.engines.stream())
			.sorted(Comparator.comparing(Upstream::dataCentre).thenComparing(Upstream::id))
			.collect(Collectors.groupingBy(Upstream::region, TreeMap::new, Collectors.toList()));
		this.originRegion = this.byRegion.containsKey(originRegion) ? originRegion
				: this.byRegion.keySet().iterator().next();
	}

	/**
	 * Engines whose agents are asked for a piece, in order. After them comes the origin.
	 */
	List<Upstream> sources(int index) {
		List<Upstream> holders = this.engines.stream().filter(this::holds).sorted(nearest(index)).toList();
		if (holders.isEmpty()) {
			return predecessors(index);
		}
		Upstream collector = collector(index);
		return collector.id().equals(this.own.id()) ? holders
				: Stream.concat(Stream.of(collector), holders.stream()).toList();
	}

	/**
	 * Engines whose agents are asked for the list of digests, in order. After them comes
	 * the origin. Without holders the list spreads along a tree in each region, since an
	 * agent fetches nothing before it has the list.
	 */
	List<Upstream> listSources() {
		List<Upstream> holders = this.engines.stream().filter(this::holds).sorted(nearest(0)).toList();
		if (!holders.isEmpty()) {
			return holders;
		}
		List<Upstream> members = rotated(this.own.region(), 0);
		List<Upstream> ancestors = new ArrayList<>();
		for (int place = members.indexOf(this.own); place > 0;) {
			place = (place - 1) / 2;
			ancestors.add(members.get(place));
		}
		if (!this.own.region().equals(this.originRegion)) {
			ancestors.add(rotated(this.originRegion, 0).getFirst());
		}
		return ancestors;
	}

	/**
	 * Whether this agent is the one that fetches a piece from the origin.
	 */
	boolean fromOrigin(int index) {
		return sources(index).isEmpty();
	}

	/**
	 * Agents before this one on the chain of a piece, the nearest first.
	 */
	private List<Upstream> predecessors(int index) {
		List<String> regions = regionOrder(index);
		int position = regions.indexOf(this.own.region());
		List<Upstream> ownRegion = rotated(this.own.region(), index);
		List<Upstream> before = new ArrayList<>(ownRegion.subList(0, ownRegion.indexOf(this.own)).reversed());
		for (int i = position - 1; i >= 0; i--) {
			before.add(rotated(regions.get(i), index).getFirst());
		}
		return before;
	}

	/**
	 * Regions in the order in which a piece crosses into them. The others take turns to
	 * be the last one, which sends least.
	 */
	private List<String> regionOrder(int index) {
		List<String> others = new ArrayList<>(this.byRegion.keySet());
		others.remove(this.originRegion);
		Collections.rotate(others, index);
		others.addFirst(this.originRegion);
		return others;
	}

	/**
	 * Agents of a region in the order in which they pass a piece on. They take turns to
	 * be the first one, which sends twice, and the last one, which sends nothing.
	 */
	private List<Upstream> rotated(String region, int index) {
		List<Upstream> members = new ArrayList<>(this.byRegion.getOrDefault(region, List.of()));
		Collections.rotate(members, index);
		return members;
	}

	/**
	 * The engine of this data centre that gets a piece from a holder and passes it on to
	 * the others that lack it. These run no calls yet, so their links are free, whereas
	 * the links of holders carry answers.
	 */
	private Upstream collector(int index) {
		return Stream.concat(Stream.of(this.own), this.engines.stream())
			.filter((engine) -> engine.dataCentre().equals(this.own.dataCentre()))
			.filter((engine) -> engine.id().equals(this.own.id()) || !holds(engine))
			.min(Comparator.comparingLong((engine) -> HASH.hashCharsToLong(chunk(index) + "/" + engine.id())))
			.orElse(this.own);
	}

	private boolean holds(Upstream engine) {
		return engine.loaded()
			.filter((weights) -> weights.model().equals(this.target.model()))
			.map(LoadedWeights::version)
			.filter((version) -> version == this.target.version())
			.isPresent();
	}

	private Comparator<Upstream> nearest(int index) {
		return Comparator.<Upstream>comparingInt(this::distance)
			.thenComparingLong((engine) -> HASH.hashCharsToLong(chunk(index) + engine.id()));
	}

	private int distance(Upstream engine) {
		if (!engine.region().equals(this.own.region())) {
			return 2;
		}
		return engine.dataCentre().equals(this.own.dataCentre()) ? 0 : 1;
	}

	private String chunk(int index) {
		return this.target.model() + "/" + this.target.version() + "/" + index;
	}

}
