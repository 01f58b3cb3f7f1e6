package org.jaywood.replica;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;

class DownloadSchedulerTests {

	private static final int CHUNKS = 96;

	private static final long NOW_MILLIS = 1_000;

	/** Slightly more than the time in which the origin sends a copy. */
	private static final long ROUND_MILLIS = 4_000;

	private static final int PER_REGION = 90;

	private static final ModelVersion NEW_VERSION = new ModelVersion("model", 2);

	/** Connections that the origin of a deployment supports. */
	private static final int MAX_ORIGIN_CONNECTIONS = 48;

	private final List<Upstream> engines = Stream.of("doto", "dohoku")
		.flatMap((region) -> IntStream.range(0, PER_REGION)
			.mapToObj((number) -> RoutingFixtures.engine(region + number, region + "-a", region, 1)))
		.toList();

	private DownloadScheduler createScheduler(Upstream ownEngine, List<Upstream> engines) {
		return new DownloadScheduler(new FanOutPlan(ownEngine, engines, NEW_VERSION, "dohoku"));
	}

	private static BitSet allChunks() {
		BitSet all = new BitSet();
		all.set(0, CHUNKS);
		return all;
	}

	/**
	 * Guards against connections and requests whose number grows with the fleet or the
	 * number of chunks.
	 */
	@Nested
	class RequestLimits {

		@Test
		void atMostThirteenRequestsCoverNearlyAllChunks() {
			DownloadScheduler schedule = createScheduler(DownloadSchedulerTests.this.engines.getLast(),
					DownloadSchedulerTests.this.engines);
			List<ChunkRequest> requests = schedule.nextRequests(allChunks(), (peer) -> true, NOW_MILLIS);
			BitSet requestedChunks = new BitSet();
			requests.forEach((request) -> requestedChunks.or(request.chunkIndexes()));
			assertThat(requests.size()).isAtMost(13);
			assertThat(requestedChunks.cardinality()).isAtLeast(CHUNKS - 3);
		}

		@Test
		void chunkIsRequestedFromOneSourceAtATime() {
			DownloadScheduler schedule = createScheduler(DownloadSchedulerTests.this.engines.getFirst(),
					DownloadSchedulerTests.this.engines);
			BitSet first = new BitSet();
			schedule.nextRequests(allChunks(), (peer) -> true, NOW_MILLIS)
				.forEach((request) -> first.or(request.chunkIndexes()));
			schedule.nextRequests(allChunks(), (peer) -> true, NOW_MILLIS)
				.forEach((request) -> assertThat(request.chunkIndexes().intersects(first)).isFalse());
		}

		@Test
		void originConnectionsAreLimitedWhenNoPeerIsReachable() {
			List<Upstream> small = DownloadSchedulerTests.this.engines.subList(0, 20);
			long connections = small.stream()
				.mapToLong((ownEngine) -> createScheduler(ownEngine, small)
					.nextRequests(allChunks(), (peer) -> false, NOW_MILLIS)
					.size())
				.sum();
			assertThat(connections).isAtMost(MAX_ORIGIN_CONNECTIONS);
		}

	}

	/**
	 * Guards against chunks that never arrive because one source is silent or
	 * unreachable.
	 */
	@Nested
	class FailedRequests {

		private final Upstream ownEngine = DownloadSchedulerTests.this.engines.getLast();

		private final DownloadScheduler scheduler = createScheduler(this.ownEngine,
				DownloadSchedulerTests.this.engines);

		private final BitSet chunk = BitSet.valueOf(new long[] { 1 << 7 });

		private List<String> peersAskedBeforeOrigin(DownloadScheduler schedule) {
			List<String> askedPeers = new ArrayList<>();
			long nowMillis = NOW_MILLIS;
			List<ChunkRequest> requests = schedule.nextRequests(this.chunk, (peer) -> true, nowMillis);
			while (requests.size() == 1 && requests.getFirst() instanceof ChunkRequest.FromPeer fromPeer) {
				askedPeers.add(fromPeer.peer().id());
				nowMillis += ROUND_MILLIS;
				schedule.onRequestEnd(fromPeer, true, this.chunk, nowMillis);
				requests = schedule.nextRequests(this.chunk, (peer) -> true, nowMillis);
			}
			assertThat(requests).contains(new ChunkRequest.FromOrigin(7));
			return askedPeers;
		}

		@Test
		void nextSourceIsAskedAfterSilentOne() {
			List<String> askedPeers = peersAskedBeforeOrigin(this.scheduler);
			int sources = (int) askedPeers.stream().distinct().count();
			assertThat(sources).isGreaterThan(1);
			IntStream.iterate(0, (begin) -> begin < askedPeers.size(), (begin) -> begin + sources)
				.forEach((begin) -> assertThat(askedPeers.subList(begin, begin + sources)).containsNoDuplicates());
		}

		@Test
		void eachFailedRoundDoublesAgentsThatMayAskOrigin() {
			Map<Integer, Long> agentsByRounds = DownloadSchedulerTests.this.engines.stream()
				.filter((engine) -> engine.region().equals("dohoku"))
				.map((engine) -> peersAskedBeforeOrigin(createScheduler(engine, DownloadSchedulerTests.this.engines)))
				.map((askedPeers) -> askedPeers.isEmpty() ? 0
						: askedPeers.size() / (int) askedPeers.stream().distinct().count())
				.collect(Collectors.groupingBy((rounds) -> rounds, Collectors.counting()));
			assertThat(agentsByRounds).containsExactly(0, 1L, 1, 1L, 2, 2L, 3, 4L, 4, 8L, 5, 16L, 6, 32L, 7, 26L);
		}

		@Test
		void roundEndsWhenLastSourceIsUnreachable() {
			List<String> sources = peersAskedBeforeOrigin(
					createScheduler(this.ownEngine, DownloadSchedulerTests.this.engines))
				.stream()
				.distinct()
				.toList();
			Predicate<Upstream> reachable = (peer) -> !peer.id().equals(sources.getLast());
			long nowMillis = NOW_MILLIS;
			for (int attempt = 0; attempt < 10 * sources.size(); attempt++) {
				List<ChunkRequest> requests = this.scheduler.nextRequests(this.chunk, reachable, nowMillis);
				nowMillis += ROUND_MILLIS;
				for (ChunkRequest request : requests) {
					if (request instanceof ChunkRequest.FromOrigin) {
						return;
					}
					this.scheduler.onRequestEnd(request, true, this.chunk, nowMillis);
				}
			}
			throw new AssertionError("the origin was not asked");
		}

		@Test
		void roundsShorterThanMinimumDoNotCount() {
			for (int attempt = 0; attempt < 100; attempt++) {
				List<ChunkRequest> requests = this.scheduler.nextRequests(this.chunk, (peer) -> true, NOW_MILLIS);
				assertThat(requests).hasSize(1);
				this.scheduler.onRequestEnd(requests.getFirst(), true, this.chunk, NOW_MILLIS);
			}
		}

		@Test
		void peersAreStillAskedForChunkRequestedFromOrigin() {
			peersAskedBeforeOrigin(this.scheduler);
			assertThat(this.scheduler.requestedPeers()).isNotEmpty();
		}

		@Test
		void unreachableSourceIsAskedAgain() {
			BitSet oneChunk = new BitSet();
			oneChunk.set(7);
			ChunkRequest first = this.scheduler.nextRequests(oneChunk, (peer) -> true, NOW_MILLIS).getFirst();
			this.scheduler.onRequestEnd(first, false, oneChunk, NOW_MILLIS);
			assertThat(this.scheduler.nextRequests(oneChunk, (peer) -> true, NOW_MILLIS)).containsExactly(first);
		}

		@Test
		void originFailureRestartsRoundsAtPeers() {
			BitSet oneChunk = new BitSet();
			oneChunk.set(7);
			ChunkRequest origin = this.scheduler.nextRequests(oneChunk, (peer) -> false, NOW_MILLIS).getFirst();
			this.scheduler.onRequestEnd(origin, true, oneChunk, NOW_MILLIS);
			assertThat(this.scheduler.nextRequests(oneChunk, (peer) -> true, NOW_MILLIS).getFirst())
				.isInstanceOf(ChunkRequest.FromPeer.class);
		}

		@Test
		void receivedChunksAreNotRequestedAgain() {
			ChunkRequest first = this.scheduler.nextRequests(allChunks(), (peer) -> true, NOW_MILLIS).getFirst();
			BitSet missing = allChunks();
			missing.andNot(first.chunkIndexes());
			this.scheduler.onRequestEnd(first, true, missing, NOW_MILLIS);
			this.scheduler.nextRequests(missing, (peer) -> true, NOW_MILLIS)
				.forEach((request) -> assertThat(request.chunkIndexes().intersects(first.chunkIndexes())).isFalse());
		}

	}

}
