package org.jaywood.replica;

import java.math.BigInteger;
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
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.Upstream;

/**
 * Decides from whom an agent asks for a piece. The agents that lack a version pass each
 * piece on along a binomial tree, in which they take turns to be the root: all agents of
 * a region while no engine serves the version, those of a data centre afterwards. The
 * root gets the piece from the origin, from the root of another region, or from an engine
 * that serves the version. So one copy leaves the origin, one crosses into each other
 * region, and each agent sends about one copy, which takes the time in which its link
 * receives one. The number of agents between the origin and any other grows with the
 * logarithm of their number, and so does the number of agents that one agent asks.
 */
final class FanOutPlan {

	/** Engines that serve the version, which one agent asks for pieces. */
	private static final int MAX_SERVING_SOURCES = 4;

	/** Part of a list whose multiples spread evenly over it. */
	private static final double GOLDEN_FRACTION = 0.382;

	/** Place of the agent that stands in for the root of a tree. */
	private static final int STANDBY_POSITION = 1;

	private static final Hasher64 HASH = Hashing.xxh3_64();

	private final Upstream ownEngine;

	private final ModelVersion target;

	private final Map<String, List<Upstream>> enginesByRegion;

	private final String originRegion;

	/** Engines that serve the version, the nearest first. */
	private final List<Upstream> servingEngines;

	/** Engines that pass pieces on to each other, in a fixed order. */
	private final List<Upstream> treeMembers;

	/**
	 * Creates a plan.
	 * @param own the engine of this agent
	 * @param engines all engines of the service; an older entry of the own one is ignored
	 * @param target version wanted
	 * @param originRegion region of the origin
	 */
	FanOutPlan(Upstream own, List<Upstream> engines, ModelVersion target, String originRegion) {
		this.ownEngine = own;
		this.target = target;
		List<Upstream> others = engines.stream().filter((engine) -> !engine.id().equals(own.id())).toList();
		this.enginesByRegion = Stream.concat(Stream.of(own), others.stream())
			.sorted(Comparator.comparing(Upstream::dataCentre).thenComparing(Upstream::id))
			.collect(Collectors.groupingBy(Upstream::region, TreeMap::new, Collectors.toList()));
		this.originRegion = this.enginesByRegion.containsKey(originRegion) ? originRegion
				: this.enginesByRegion.keySet().iterator().next();
		this.servingEngines = others.stream().filter(this::servesTarget).sorted(byDistance()).toList();
		List<Upstream> region = this.enginesByRegion.getOrDefault(own.region(), List.of());
		this.treeMembers = this.servingEngines.isEmpty() ? region
				: region.stream().filter(this::lacksTargetInDataCentre).toList();
	}

	/**
	 * Engines whose agents are asked for a piece, in order. After them comes the origin.
	 * While the root is silent, the one at the next place gets the piece from elsewhere
	 * and the others from there, so that they do not all turn to the origin.
	 */
	List<Upstream> sources(int index) {
		List<Upstream> order = rotate(this.treeMembers, index);
		int place = order.indexOf(this.ownEngine);
		List<Upstream> sources = new ArrayList<>(ancestors(order, place));
		if (place > STANDBY_POSITION && !sources.contains(order.get(STANDBY_POSITION))) {
			sources.add(order.get(STANDBY_POSITION));
		}
		if (!this.servingEngines.isEmpty()) {
			sources.addAll(servingEngines(index));
		}
		else if (place <= STANDBY_POSITION) {
			sources.addAll(precedingRoots(index));
		}
		return sources;
	}

	/**
	 * Turn of this agent at the origin for a piece: 0 for the root of the tree in the
	 * region of the origin, 1 for the one that stands in for it. The other regions
	 * follow.
	 */
	int originRank(int index) {
		int place = rotate(this.treeMembers, index).indexOf(this.ownEngine);
		return this.ownEngine.region().equals(this.originRegion) ? place : place + STANDBY_POSITION + 1;
	}

	/**
	 * Engines whose agents are asked for the list of digests, in order. After them comes
	 * the origin. The list spreads along a tree of the agents that lack the version,
	 * since an agent fetches nothing before it has the list.
	 */
	List<Upstream> manifestSources() {
		List<Upstream> ancestors = new ArrayList<>();
		for (int place = this.treeMembers.indexOf(this.ownEngine); place > 0;) {
			place = (place - 1) / 2;
			ancestors.add(this.treeMembers.get(place));
		}
		if (!this.servingEngines.isEmpty()) {
			ancestors.addAll(servingEngines(0));
		}
		else if (!this.ownEngine.region().equals(this.originRegion)) {
			ancestors.add(rootOf(this.originRegion, 0));
		}
		return ancestors;
	}

	/**
	 * Number of agents in the region of this one.
	 */
	int regionSize() {
		return this.enginesByRegion.getOrDefault(this.ownEngine.region(), List.of()).size();
	}

	/**
	 * Agents above a place of a binomial tree, the nearest first. The parent of a place
	 * is that number without its highest bit, so all agents of one place ask the agents
	 * that lie powers of two before it.
	 */
	private static List<Upstream> ancestors(List<Upstream> order, int place) {
		return Stream.iterate(place, (number) -> number > 0, (number) -> number - Integer.highestOneBit(number))
			.map((number) -> order.get(number - Integer.highestOneBit(number)))
			.toList();
	}

	/**
	 * Roots of the regions that get a piece before this one, the nearest first.
	 */
	private List<Upstream> precedingRoots(int index) {
		List<String> regions = regionOrder(index);
		return regions.subList(0, regions.indexOf(this.ownEngine.region()))
			.reversed()
			.stream()
			.map((region) -> rootOf(region, index))
			.toList();
	}

	/**
	 * Regions in the order in which a piece crosses into them. The others take turns to
	 * be the last one, which sends least.
	 */
	private List<String> regionOrder(int index) {
		List<String> others = new ArrayList<>(this.enginesByRegion.keySet());
		others.remove(this.originRegion);
		Collections.rotate(others, index);
		others.addFirst(this.originRegion);
		return others;
	}

	private Upstream rootOf(String region, int index) {
		return rotate(this.enginesByRegion.getOrDefault(region, List.of()), index).getFirst();
	}

	/**
	 * Engines in the order of the places that they take for a piece. From one piece to
	 * the next they move on by a part of the list, so that nobody has several of the
	 * first places, which send most, more often than others.
	 */
	private static List<Upstream> rotate(List<Upstream> engines, int index) {
		List<Upstream> order = new ArrayList<>(engines);
		Collections.rotate(order, index * stride(engines.size()));
		return order;
	}

	private static int stride(int size) {
		int stride = Math.max(1, (int) Math.round(size * GOLDEN_FRACTION));
		while (!BigInteger.valueOf(stride).gcd(BigInteger.valueOf(size)).equals(BigInteger.ONE)) {
			stride++;
		}
		return stride;
	}

	/**
	 * A few near engines that serve the version, which share the pieces of this agent.
	 */
	private List<Upstream> servingEngines(int index) {
		return rotate(this.servingEngines.subList(0, Math.min(MAX_SERVING_SOURCES, this.servingEngines.size())), index);
	}

	/**
	 * Whether an engine of the data centre of this agent lacks the version. These run no
	 * calls yet, so their links are free, whereas the links of holders carry answers.
	 */
	private boolean lacksTargetInDataCentre(Upstream engine) {
		return engine.dataCentre().equals(this.ownEngine.dataCentre())
				&& (engine.id().equals(this.ownEngine.id()) || !servesTarget(engine));
	}

	private boolean servesTarget(Upstream engine) {
		return engine.loaded()
			.filter((weights) -> weights.model().equals(this.target.model()))
			.map(LoadedWeights::version)
			.filter((version) -> version == this.target.version())
			.isPresent();
	}

	/**
	 * Near engines first; those of about the same distance by a hash, which differs
	 * between agents.
	 */
	private Comparator<Upstream> byDistance() {
		String seed = this.target.model() + "/" + this.target.version() + "/" + this.ownEngine.id() + "/";
		return Comparator.<Upstream>comparingInt(this::distance)
			.thenComparingLong((engine) -> HASH.hashCharsToLong(seed + engine.id()));
	}

	private int distance(Upstream engine) {
		if (!engine.region().equals(this.ownEngine.region())) {
			return 2;
		}
		return engine.dataCentre().equals(this.ownEngine.dataCentre()) ? 0 : 1;
	}

}
