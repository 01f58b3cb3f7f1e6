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
 * Decides from which agents an agent fetches each chunk. Each chunk spreads over the
 * agents that lack a version along a binomial tree, and the agents take turns as its
 * root: all agents of a region while no engine serves the version, those of a data centre
 * afterwards. The root gets the chunk from the origin, from the root of another region,
 * or from an engine that serves the version. So one copy leaves the origin, one enters
 * each other region, and each agent sends about one copy, in the time in which its link
 * receives one. The length of the path from the origin to an agent and the number of
 * peers that an agent asks both grow with the logarithm of the number of agents.
 */
final class FanOutPlan {

	/** Maximum number of serving engines that one agent asks for chunks. */
	private static final int MAX_SERVING_SOURCES = 4;

	/**
	 * Fraction of a list whose multiples spread evenly over it, from the golden ratio.
	 */
	private static final double GOLDEN_FRACTION = 0.382;

	/** Tree position of the agent that replaces a silent root. */
	private static final int STANDBY_POSITION = 1;

	private static final Hasher64 HASH = Hashing.xxh3_64();

	private final Upstream ownEngine;

	private final ModelVersion target;

	private final Map<String, List<Upstream>> enginesByRegion;

	private final String originRegion;

	/** Engines that serve the version, nearest first. */
	private final List<Upstream> servingEngines;

	/** Engines whose agents form the trees, in a fixed order. */
	private final List<Upstream> treeMembers;

	/**
	 * Creates a plan.
	 * @param ownEngine the engine of this agent
	 * @param engines all engines of the service; the entry of the own engine, which may
	 * be older, is ignored
	 * @param target version to download
	 * @param originRegion region of the origin
	 */
	FanOutPlan(Upstream ownEngine, List<Upstream> engines, ModelVersion target, String originRegion) {
		this.ownEngine = ownEngine;
		this.target = target;
		List<Upstream> others = engines.stream().filter((engine) -> !engine.id().equals(ownEngine.id())).toList();
		this.enginesByRegion = Stream.concat(Stream.of(ownEngine), others.stream())
			.sorted(Comparator.comparing(Upstream::dataCentre).thenComparing(Upstream::id))
			.collect(Collectors.groupingBy(Upstream::region, TreeMap::new, Collectors.toList()));
		this.originRegion = this.enginesByRegion.containsKey(originRegion) ? originRegion
				: this.enginesByRegion.keySet().iterator().next();
		this.servingEngines = others.stream().filter(this::servesTarget).sorted(byDistance()).toList();
		List<Upstream> region = this.enginesByRegion.getOrDefault(ownEngine.region(), List.of());
		this.treeMembers = this.servingEngines.isEmpty() ? region
				: region.stream().filter(this::lacksTargetInDataCentre).toList();
	}

	/**
	 * Returns the engines whose agents are asked for a chunk, in order; the origin is
	 * asked after them. While the root is silent, the agent at {@link #STANDBY_POSITION}
	 * fetches the chunk from elsewhere and the others fetch it from that agent, so that
	 * they do not all ask the origin.
	 */
	List<Upstream> sources(int index) {
		List<Upstream> order = rotate(this.treeMembers, index);
		int position = order.indexOf(this.ownEngine);
		List<Upstream> sources = new ArrayList<>(ancestors(order, position));
		if (position > STANDBY_POSITION && !sources.contains(order.get(STANDBY_POSITION))) {
			sources.add(order.get(STANDBY_POSITION));
		}
		if (!this.servingEngines.isEmpty()) {
			sources.addAll(servingEngines(index));
		}
		else if (position <= STANDBY_POSITION) {
			sources.addAll(precedingRoots(index));
		}
		return sources;
	}

	/**
	 * Returns the rank of this agent among those that may ask the origin for a chunk: 0
	 * for the root of the tree in the region of the origin, 1 for its standby. Agents of
	 * other regions rank behind that.
	 */
	int originRank(int index) {
		int position = rotate(this.treeMembers, index).indexOf(this.ownEngine);
		return this.ownEngine.region().equals(this.originRegion) ? position : position + STANDBY_POSITION + 1;
	}

	/**
	 * Returns the engines whose agents are asked for the manifest, in order; the origin
	 * is asked after them. The manifest spreads along a tree of the agents that lack the
	 * version, since an agent fetches no chunk before it has the manifest.
	 */
	List<Upstream> manifestSources() {
		List<Upstream> ancestors = new ArrayList<>();
		for (int position = this.treeMembers.indexOf(this.ownEngine); position > 0;) {
			position = (position - 1) / 2;
			ancestors.add(this.treeMembers.get(position));
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
	 * Returns the number of agents in the region of this agent.
	 */
	int regionSize() {
		return this.enginesByRegion.getOrDefault(this.ownEngine.region(), List.of()).size();
	}

	/**
	 * Returns the ancestors of a position in a binomial tree, the parent first. The
	 * parent of a position is its number without the highest bit, so all ancestors lie a
	 * power of two before their child.
	 */
	private static List<Upstream> ancestors(List<Upstream> order, int position) {
		return Stream.iterate(position, (number) -> number > 0, (number) -> number - Integer.highestOneBit(number))
			.map((number) -> order.get(number - Integer.highestOneBit(number)))
			.toList();
	}

	/**
	 * Returns the roots of the regions that get a chunk before this region, nearest
	 * first.
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
	 * Returns the regions in the order in which a chunk reaches them. The order of the
	 * regions other than that of the origin rotates with the index, since the last one
	 * sends least.
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
	 * Returns the engines in the order of their tree positions for a chunk. The order
	 * rotates by a fraction of the list from one chunk to the next, so that no engine
	 * takes several of the first positions, which send most, more often than others.
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
	 * Returns a few near engines that serve the version, rotated so that they share the
	 * chunks of this agent.
	 */
	private List<Upstream> servingEngines(int index) {
		return rotate(this.servingEngines.subList(0, Math.min(MAX_SERVING_SOURCES, this.servingEngines.size())), index);
	}

	/**
	 * Whether an engine is in the data centre of this agent and lacks the version. Such
	 * engines run no calls yet, so their links are free, whereas the links of serving
	 * engines carry answers.
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
	 * Orders engines by distance, and those of equal distance by a hash that differs
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
