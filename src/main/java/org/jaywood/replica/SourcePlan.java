package org.jaywood.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.Upstream;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.weights.DistributionTree;
import org.jaywood.wire.Address;

/**
 * Decides from whom an agent asks for a piece. While engines serve the version already,
 * the near ones among them share the work. A new version spreads by a tree for each
 * piece, so that one copy leaves the origin and one crosses into each region.
 */
final class SourcePlan {

	private static final Hasher64 HASH = Hashing.xxh3_64();

	private final Upstream own;

	private final List<Upstream> engines;

	private final NamedWeights target;

	private final String originRegion;

	private final DistributionTree tree;

	/**
	 * Creates a plan.
	 * @param own the engine of this agent
	 * @param engines all engines of the service, the own one included
	 * @param target version wanted
	 * @param originRegion region of the origin
	 */
	SourcePlan(Upstream own, List<Upstream> engines, NamedWeights target, String originRegion) {
		this.own = own;
		this.engines = engines;
		this.target = target;
		this.originRegion = originRegion;
		this.tree = new DistributionTree(
				Stream.concat(Stream.of(own), engines.stream()).distinct().map(SourcePlan::vm).toList(), originRegion);
	}

	/**
	 * Engines whose agents are asked for a piece, in order. After them comes the origin.
	 */
	List<Upstream> sources(int index) {
		List<Upstream> holders = this.engines.stream()
			.filter((engine) -> !engine.id().equals(this.own.id()))
			.filter(this::holds)
			.sorted(nearest(index))
			.toList();
		if (holders.isEmpty()) {
			return parent(index).stream().toList();
		}
		Upstream collector = collector(index);
		return collector.id().equals(this.own.id()) ? holders
				: Stream.concat(Stream.of(collector), holders.stream()).toList();
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

	/**
	 * Whether this agent is the one that fetches a piece from the origin.
	 */
	boolean fromOrigin(int index) {
		return sources(index).isEmpty();
	}

	private Optional<Upstream> parent(int index) {
		return this.tree.parent(chunk(index), vm(this.own))
			.flatMap((vm) -> this.engines.stream().filter((engine) -> engine.id().equals(vm.vm())).findFirst());
	}

	private boolean holds(Upstream engine) {
		return engine.loaded()
			.filter((weights) -> weights.model().equals(this.target.model()))
			.map(LoadedWeights::version)
			.filter((version) -> version == this.target.version())
			.isPresent();
	}

	private Comparator<Upstream> nearest(int index) {
		return Comparator.<Upstream>comparingInt((engine) -> distance(engine))
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

	private static VmRecord vm(Upstream engine) {
		return new VmRecord(engine.id(), "agent", engine.service(), engine.region(), engine.dataCentre(),
				new Address(engine.address().host(), engine.address().port()), VmState.LIVE);
	}

	@Override
	public String toString() {
		return this.target + " from " + this.originRegion;
	}

}
