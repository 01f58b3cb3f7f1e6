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
	private static final int MAX_HOLDERS = 4;

	/** Part of a list whose multiples spread evenly over it. */
	private static final double GOLDEN_SHARE = 0.382;

	/** Place of the agent that stands in for the root of a tree. */
	private static final int STANDBY_PLACE = 1;

	private static final Hasher64 HASH = Hashing.xxh3_64();

	private final Upstream own;

	private final ModelVersion target;

	private final Map<String, List<Upstream>> byRegion;

	private final String originRegion;

	/** Engines that serve the version, the nearest first. */
	private final List<Upstream> holders;

	/** Engines that pass pieces on to each other, in a fixed order. */
	private final List<Upstream> members;

	/**
	 * Creates a plan.
	 * @param own the engine of this agent
	 * @param engines all engines of the service; an older entry of the own one is ignored
	 * @param target version wanted
	 * @param originRegion region of the origin
	 */
	FanOutPlan(Upstream own, List<Upstream> engines, ModelVersion target, String originRegion) {
		this.own = own;
		this.target = target;
		List<Upstream> others = engines.stream().filter((engine) -> !engine.id().equals(own.id())).toList();
		this.byRegion = Stream.concat(Stream.of(own), others.stream())
			.sorted(Comparator.comparing(Upstream::dataCentre).thenComparing(Upstream::id))
			.collect(Collectors.groupingBy(Upstream::region, TreeMap::new, Collectors.toList()));
		this.originRegion = this.byRegion.containsKey(originRegion) ? originRegion
				: this.byRegion.keySet().iterator().next();
		this.holders = others.stream().filter(this::holds).sorted(nearest()).toList();
		List<Upstream> region = this.byRegion.getOrDefault(own.region(), List.of());
		this.members = this.holders.isEmpty() ? region : region.stream().filter(this::lacksHere).toList();
	}

	/**
	 * Engines whose agents are asked for a piece, in order. After them comes the origin.
	 * While the root is silent, the one at the next place gets the piece from elsewhere
	 * and the others from there, so that they do not all turn to the origin.
	 */
	List<Upstream> sources(int index) {
		List<Upstream> order = rotated(this.members, index);
		int place = order.indexOf(this.own);
		List<Upstream> sources = new ArrayList<>(ancestors(order, place));
		if (place > STANDBY_PLACE && !sources.contains(order.get(STANDBY_PLACE))) {
			sources.add(order.get(STANDBY_PLACE));
		}
		if (!this.holders.isEmpty()) {
			sources.addAll(holders(index));
		}
		else if (place <= STANDBY_PLACE) {
			sources.addAll(rootsBefore(index));
		}
		return sources;
	}

	/**
	 * Turn of this agent at the origin for a piece: 0 for the root of the tree in the
	 * region of the origin, 1 for the one that stands in for it. The other regions
	 * follow.
	 */
	int originRank(int index) {
		int place = rotated(this.members, index).indexOf(this.own);
		return this.own.region().equals(this.originRegion) ? place : place + STANDBY_PLACE + 1;
	}

	/**
	 * Engines whose agents are asked for the list of digests, in order. After them comes
	 * the origin. The list spreads along a tree of the agents that lack the version,
	 * since an agent fetches nothing before it has the list.
	 */
	List<Upstream> manifestSources() {
		List<Upstream> ancestors = new ArrayList<>();
		for (int place = this.members.indexOf(this.own); place > 0;) {
			place = (place - 1) / 2;
			ancestors.add(this.members.get(place));
		}
		if (!this.holders.isEmpty()) {
			ancestors.addAll(holders(0));
		}
		else if (!this.own.region().equals(this.originRegion)) {
			ancestors.add(root(this.originRegion, 0));
		}
		return ancestors;
	}

	/**
	 * Number of agents in the region of this one.
	 */
	int regionSize() {
		return this.byRegion.getOrDefault(this.own.region(), List.of()).size();
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
	private List<Upstream> rootsBefore(int index) {
		List<String> regions = regionOrder(index);
		return regions.subList(0, regions.indexOf(this.own.region()))
			.reversed()
			.stream()
			.map((region) -> root(region, index))
			.toList();
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

	private Upstream root(String region, int index) {
		return rotated(this.byRegion.getOrDefault(region, List.of()), index).getFirst();
	}

	/**
	 * Engines in the order of the places that they take for a piece. From one piece to
	 * the next they move on by a part of the list, so that nobody has several of the
	 * first places, which send most, more often than others.
	 */
	private static List<Upstream> rotated(List<Upstream> engines, int index) {
		List<Upstream> order = new ArrayList<>(engines);
		Collections.rotate(order, index * stride(engines.size()));
		return order;
	}

	private static int stride(int size) {
		int stride = Math.max(1, (int) Math.round(size * GOLDEN_SHARE));
		while (!BigInteger.valueOf(stride).gcd(BigInteger.valueOf(size)).equals(BigInteger.ONE)) {
			stride++;
		}
		return stride;
	}

	/**
	 * A few near engines that serve the version, which share the pieces of this agent.
	 */
	private List<Upstream> holders(int index) {
		return rotated(this.holders.subList(0, Math.min(MAX_HOLDERS, this.holders.size())), index);
	}

	/**
	 * Whether an engine of the data centre of this agent lacks the version. These run no
	 * calls yet, so their links are free, whereas the links of holders carry answers.
	 */
	private boolean lacksHere(Upstream engine) {
		return engine.dataCentre().equals(this.own.dataCentre())
				&& (engine.id().equals(this.own.id()) || !holds(engine));
	}

	private boolean holds(Upstream engine) {
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
	private Comparator<Upstream> nearest() {
		String seed = this.target.model() + "/" + this.target.version() + "/" + this.own.id() + "/";
		return Comparator.<Upstream>comparingInt(this::distance)
			.thenComparingLong((engine) -> HASH.hashCharsToLong(seed + engine.id()));
	}

	private int distance(Upstream engine) {
		if (!engine.region().equals(this.own.region())) {
			return 2;
		}
		return engine.dataCentre().equals(this.own.dataCentre()) ? 0 : 1;
	}

}
