package org.jaywood.replica;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;

class FanOutPlanTests {

	private static final int CHUNKS = 96;

	private static final ModelVersion NEW_VERSION = new ModelVersion("model", 2);

	private static final ModelVersion SERVED_VERSION = new ModelVersion("model", 1);

	private static List<Upstream> engines(int perRegion) {
		return Stream.of("doto", "dohoku", "donan")
			.flatMap((region) -> IntStream.range(0, perRegion)
				.mapToObj((number) -> RoutingFixtures.engine(region + number, region + "-a", region, 1)))
			.toList();
	}

	private static FanOutPlan plan(Upstream own, List<Upstream> engines, ModelVersion target) {
		return new FanOutPlan(own, engines, target, "dohoku");
	}

	/**
	 * Guards against a manifest, without which no chunk is fetched, that passes through
	 * each agent of a large region in turn.
	 */
	@Nested
	class ManifestOfNewVersion {

		private static final int PER_REGION = 90;

		private int depth(Upstream engine, List<Upstream> engines) {
			int depth = 0;
			List<Upstream> sources = plan(engine, engines, NEW_VERSION).manifestSources();
			while (!sources.isEmpty()) {
				depth++;
				sources = plan(sources.getFirst(), engines, NEW_VERSION).manifestSources();
			}
			return depth;
		}

		@Test
		void pathFromOriginIsLogarithmicInRegionSize() {
			List<Upstream> engines = engines(PER_REGION);
			int maxDepth = engines.stream().mapToInt((engine) -> depth(engine, engines)).max().orElseThrow();
			assertThat(maxDepth).isAtMost(2 + (int) Math.ceil(Math.log(PER_REGION) / Math.log(2)));
		}

		@Test
		void oneAgentAsksOriginAndEachAgentSendsAtMostFourManifests() {
			List<Upstream> engines = engines(PER_REGION);
			Map<String, Integer> sentCounts = new HashMap<>();
			engines.stream()
				.map((engine) -> plan(engine, engines, NEW_VERSION).manifestSources())
				.filter((sources) -> !sources.isEmpty())
				.forEach((sources) -> sentCounts.merge(sources.getFirst().id(), 1, Integer::sum));
			assertThat(sentCounts.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(engines.size() - 1);
			sentCounts.values().forEach((count) -> assertThat(count).isAtMost(4));
		}

	}

	/**
	 * Guards against added engines that ask all engines for a manifest which engines
	 * present at the start do not have, and then all ask the origin.
	 */
	@Nested
	class ManifestOfAddedEngines {

		private final List<Upstream> engines = Stream
			.concat(engines(20).stream(),
					IntStream.range(0, 20)
						.mapToObj((number) -> RoutingFixtures.engine("added" + number, "doto-a", "doto", 0)))
			.toList();

		private List<Upstream> addedEngines() {
			return this.engines.stream().filter((engine) -> engine.id().startsWith("added")).toList();
		}

		@Test
		void addedEngineHasFewManifestSources() {
			addedEngines()
				.forEach((engine) -> assertThat(plan(engine, this.engines, SERVED_VERSION).manifestSources().size())
					.isAtMost(4 + (int) Math.ceil(Math.log(20) / Math.log(2))));
		}

		@Test
		void oneAddedEngineOfDataCentreAsksServingEngine() {
			long roots = addedEngines().stream()
				.map((engine) -> plan(engine, this.engines, SERVED_VERSION).manifestSources().getFirst())
				.filter((source) -> !source.id().startsWith("added"))
				.count();
			assertThat(roots).isEqualTo(1);
		}

	}

	/**
	 * Guards against a version that spreads more slowly than one link allows, crosses the
	 * region links more often than needed, or never arrives.
	 */
	@Nested
	class ChunksOfNewVersion {

		@Test
		void oneCopyLeavesOriginAndOneEntersEachOtherRegion() {
			List<Upstream> engines = engines(3);
			Map<String, Integer> sentCounts = new HashMap<>();
			int fromOrigin = 0;
			int crossings = 0;
			for (Upstream engine : engines) {
				FanOutPlan plan = plan(engine, engines, NEW_VERSION);
				for (int index = 0; index < CHUNKS; index++) {
					List<Upstream> sources = plan.sources(index);
					fromOrigin += sources.isEmpty() ? 1 : 0;
					if (!sources.isEmpty()) {
						Upstream source = sources.getFirst();
						sentCounts.merge(source.id(), 1, Integer::sum);
						crossings += source.region().equals(engine.region()) ? 0 : 1;
					}
				}
			}
			assertThat(fromOrigin).isEqualTo(CHUNKS);
			assertThat(crossings).isEqualTo(2 * CHUNKS);
			sentCounts.values().forEach((count) -> assertThat(count).isAtMost(CHUNKS));
		}

		@Test
		void everyChainEndsAtOriginAlsoWhenOwnEntriesDiffer() {
			List<Upstream> engines = engines(3);
			for (int index = 0; index < CHUNKS; index++) {
				Map<String, Upstream> sourceOf = new HashMap<>();
				for (Upstream engine : engines) {
					Upstream changed = RoutingFixtures.engine(engine.id(), engine.dataCentre(), engine.region(), 0);
					plan(changed, engines, NEW_VERSION).sources(index)
						.stream()
						.findFirst()
						.ifPresent((source) -> sourceOf.put(engine.id(), source));
				}
				for (Upstream engine : engines) {
					assertThat(endsAtOrigin(engine.id(), sourceOf)).isTrue();
				}
			}
		}

		private boolean endsAtOrigin(String id, Map<String, Upstream> sourceOf) {
			Set<String> visited = new HashSet<>();
			String current = id;
			while (sourceOf.containsKey(current) && visited.add(current)) {
				current = sourceOf.get(current).id();
			}
			return !sourceOf.containsKey(current);
		}

	}

	/**
	 * Guards against versions that arrive late in large regions, and against agents whose
	 * connections or uploads grow with the fleet.
	 */
	@Nested
	class LargeRegions {

		private static final int PER_REGION = 90;

		private static final int REGIONS = 3;

		/** Leaves half of the time between versions for loading. */
		private static final int MAX_SENT_CHUNKS = CHUNKS * 5 / 4;

		private final List<Upstream> engines = engines(PER_REGION);

		private final Map<String, FanOutPlan> plans = this.engines.stream()
			.collect(Collectors.toMap(Upstream::id, (engine) -> plan(engine, this.engines, NEW_VERSION)));

		private int depth(Upstream engine, int index) {
			int depth = 0;
			List<Upstream> sources = this.plans.get(engine.id()).sources(index);
			while (!sources.isEmpty()) {
				depth++;
				sources = this.plans.get(sources.getFirst().id()).sources(index);
			}
			return depth;
		}

		@Test
		void chunkPathIsLogarithmicInRegionSize() {
			int maxDepth = this.engines.stream()
				.flatMapToInt((engine) -> IntStream.range(0, CHUNKS).map((index) -> depth(engine, index)))
				.max()
				.orElseThrow();
			assertThat(maxDepth).isAtMost(REGIONS - 1 + (int) Math.ceil(Math.log(PER_REGION) / Math.log(2)));
		}

		@Test
		void agentAsksLogarithmicNumberOfPeers() {
			this.plans.values()
				.forEach((plan) -> assertThat(IntStream.range(0, CHUNKS)
					.mapToObj(plan::sources)
					.filter((sources) -> !sources.isEmpty())
					.map((sources) -> sources.getFirst().id())
					.distinct()
					.count()).isAtMost(REGIONS - 1 + (int) Math.ceil(Math.log(PER_REGION) / Math.log(2))));
		}

		@Test
		void eachAgentSendsAtMostOneAndAQuarterCopies() {
			Map<String, Integer> sentCounts = new HashMap<>();
			this.plans.values()
				.forEach((plan) -> IntStream.range(0, CHUNKS)
					.mapToObj(plan::sources)
					.filter((sources) -> !sources.isEmpty())
					.forEach((sources) -> sentCounts.merge(sources.getFirst().id(), 1, Integer::sum)));
			sentCounts.values().forEach((count) -> assertThat(count).isAtMost(MAX_SENT_CHUNKS));
		}

	}

	/**
	 * Guards against a region whose agents all ask the origin because one agent is
	 * silent.
	 */
	@Nested
	class SilentRoot {

		@Test
		void onlyStandbyAsksOriginInstead() {
			List<Upstream> engines = engines(20);
			List<Upstream> region = engines.stream().filter((engine) -> engine.region().equals("dohoku")).toList();
			List<List<String>> sources = region.stream()
				.map((engine) -> plan(engine, engines, NEW_VERSION).sources(0).stream().map(Upstream::id).toList())
				.toList();
			List<List<String>> withoutRoot = sources.stream()
				.map((ids) -> ids.stream().filter((id) -> !id.equals("dohoku0")).toList())
				.toList();
			assertThat(withoutRoot.stream().filter(List::isEmpty).count()).isEqualTo(2);
		}

	}

	/**
	 * Guards against uploads to added engines that fill the links of engines which run
	 * calls.
	 */
	@Nested
	class ChunksOfServedVersion {

		@Test
		void addedEnginesOfDataCentreShareOneCopy() {
			Upstream serving = RoutingFixtures.engine("serving", "doto-a", "doto", 1);
			Upstream first = RoutingFixtures.engine("first", "doto-a", "doto", 0);
			Upstream second = RoutingFixtures.engine("second", "doto-a", "doto", 0);
			List<Upstream> engines = List.of(serving, first, second);
			long fromServing = Stream.of(first, second)
				.flatMap((own) -> IntStream.range(0, CHUNKS)
					.mapToObj((index) -> plan(own, engines, SERVED_VERSION).sources(index).getFirst()))
				.filter((source) -> source.id().equals("serving"))
				.count();
			assertThat(fromServing).isEqualTo(CHUNKS);
		}

	}

}
