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

	private static final int PIECES = 96;

	private static final long NOW = 1_000;

	/** Time in which the origin sends a copy, and a bit more. */
	private static final long ROUND_MILLIS = 4_000;

	private static final int PER_REGION = 90;

	private static final ModelVersion NEW = new ModelVersion("model", 2);

	/** Connections that the origin of a deployment bears. */
	private static final int ORIGIN_BEARS = 48;

	private final List<Upstream> engines = Stream.of("doto", "dohoku")
		.flatMap((region) -> IntStream.range(0, PER_REGION)
			.mapToObj((number) -> RoutingFixtures.engine(region + number, region + "-a", region, 1)))
		.toList();

	private DownloadScheduler schedule(Upstream own, List<Upstream> known) {
		return new DownloadScheduler(new FanOutPlan(own, known, NEW, "dohoku"));
	}

	private static BitSet all() {
		BitSet all = new BitSet();
		all.set(0, PIECES);
		return all;
	}

	/**
	 * Guards against connections and requests that grow with the fleet or the number of
	 * pieces.
	 */
	@Nested
	class Bounds {

		@Test
		void fewRequestsCoverAllPieces() {
			DownloadScheduler schedule = schedule(DownloadSchedulerTests.this.engines.getLast(),
					DownloadSchedulerTests.this.engines);
			List<ChunkRequest> requests = schedule.next(all(), (peer) -> true, NOW);
			BitSet asked = new BitSet();
			requests.forEach((request) -> asked.or(request.chunkIndexes()));
			assertThat(requests.size()).isAtMost(13);
			assertThat(asked.cardinality()).isAtLeast(PIECES - 3);
		}

		@Test
		void aPieceIsAskedOfOneSourceAtATime() {
			DownloadScheduler schedule = schedule(DownloadSchedulerTests.this.engines.getFirst(),
					DownloadSchedulerTests.this.engines);
			BitSet first = new BitSet();
			schedule.next(all(), (peer) -> true, NOW).forEach((request) -> first.or(request.chunkIndexes()));
			schedule.next(all(), (peer) -> true, NOW)
				.forEach((request) -> assertThat(request.chunkIndexes().intersects(first)).isFalse());
		}

		@Test
		void theOriginIsNotFloodedWhileNoPeerCanBeReached() {
			List<Upstream> small = DownloadSchedulerTests.this.engines.subList(0, 20);
			long connections = small.stream()
				.mapToLong((own) -> schedule(own, small).next(all(), (peer) -> false, NOW).size())
				.sum();
			assertThat(connections).isAtMost(ORIGIN_BEARS);
		}

	}

	/**
	 * Guards against pieces that never arrive because one source is silent or gone.
	 */
	@Nested
	class Failures {

		private final Upstream own = DownloadSchedulerTests.this.engines.getLast();

		private final DownloadScheduler schedule = schedule(this.own, DownloadSchedulerTests.this.engines);

		private final BitSet piece = BitSet.valueOf(new long[] { 1 << 7 });

		private List<String> askedUntilOrigin(DownloadScheduler schedule) {
			List<String> asked = new ArrayList<>();
			long nowMillis = NOW;
			List<ChunkRequest> requests = schedule.next(this.piece, (peer) -> true, nowMillis);
			while (requests.size() == 1 && requests.getFirst() instanceof ChunkRequest.FromPeer fromPeer) {
				asked.add(fromPeer.peer().id());
				nowMillis += ROUND_MILLIS;
				schedule.onEnd(fromPeer, true, this.piece, nowMillis);
				requests = schedule.next(this.piece, (peer) -> true, nowMillis);
			}
			assertThat(requests).contains(new ChunkRequest.FromOrigin(7));
			return asked;
		}

		@Test
		void aSilentSourceIsFollowedByTheNextOne() {
			List<String> asked = askedUntilOrigin(this.schedule);
			int sources = (int) asked.stream().distinct().count();
			assertThat(sources).isGreaterThan(1);
			IntStream.iterate(0, (begin) -> begin < asked.size(), (begin) -> begin + sources)
				.forEach((begin) -> assertThat(asked.subList(begin, begin + sources)).containsNoDuplicates());
		}

		@Test
		void afterEachRoundInVainTwiceAsManyAgentsMayTurnToTheOrigin() {
			Map<Integer, Long> agentsByRounds = DownloadSchedulerTests.this.engines.stream()
				.filter((engine) -> engine.region().equals("dohoku"))
				.map((engine) -> askedUntilOrigin(schedule(engine, DownloadSchedulerTests.this.engines)))
				.map((asked) -> asked.isEmpty() ? 0 : asked.size() / (int) asked.stream().distinct().count())
				.collect(Collectors.groupingBy((rounds) -> rounds, Collectors.counting()));
			assertThat(agentsByRounds).containsExactly(0, 1L, 1, 1L, 2, 2L, 3, 4L, 4, 8L, 5, 16L, 6, 32L, 7, 26L);
		}

		@Test
		void aRoundEndsAlsoWhileTheLastSourceCannotBeReached() {
			List<String> sources = askedUntilOrigin(schedule(this.own, DownloadSchedulerTests.this.engines)).stream()
				.distinct()
				.toList();
			Predicate<Upstream> reachable = (peer) -> !peer.id().equals(sources.getLast());
			long nowMillis = NOW;
			for (int asked = 0; asked < 10 * sources.size(); asked++) {
				List<ChunkRequest> requests = this.schedule.next(this.piece, reachable, nowMillis);
				nowMillis += ROUND_MILLIS;
				for (ChunkRequest request : requests) {
					if (request instanceof ChunkRequest.FromOrigin) {
						return;
					}
					this.schedule.onEnd(request, true, this.piece, nowMillis);
				}
			}
			throw new AssertionError("the origin is never asked");
		}

		@Test
		void quickRoundsDoNotCount() {
			for (int asked = 0; asked < 100; asked++) {
				List<ChunkRequest> requests = this.schedule.next(this.piece, (peer) -> true, NOW);
				assertThat(requests).hasSize(1);
				this.schedule.onEnd(requests.getFirst(), true, this.piece, NOW);
			}
		}

		@Test
		void peersAreStillAskedForAPieceThatTheOriginIsAskedFor() {
			askedUntilOrigin(this.schedule);
			assertThat(this.schedule.askedOfPeers()).isNotEmpty();
		}

		@Test
		void aSourceThatCannotBeReachedIsAskedAgainLater() {
			BitSet piece = new BitSet();
			piece.set(7);
			ChunkRequest first = this.schedule.next(piece, (peer) -> true, NOW).getFirst();
			this.schedule.onEnd(first, false, piece, NOW);
			assertThat(this.schedule.next(piece, (peer) -> true, NOW)).containsExactly(first);
		}

		@Test
		void aFailureOfTheOriginBeginsAnew() {
			BitSet piece = new BitSet();
			piece.set(7);
			ChunkRequest origin = this.schedule.next(piece, (peer) -> false, NOW).getFirst();
			this.schedule.onEnd(origin, true, piece, NOW);
			assertThat(this.schedule.next(piece, (peer) -> true, NOW).getFirst())
				.isInstanceOf(ChunkRequest.FromPeer.class);
		}

		@Test
		void piecesThatArrivedAreNotAskedAgain() {
			ChunkRequest first = this.schedule.next(all(), (peer) -> true, NOW).getFirst();
			BitSet missing = all();
			missing.andNot(first.chunkIndexes());
			this.schedule.onEnd(first, true, missing, NOW);
			this.schedule.next(missing, (peer) -> true, NOW)
				.forEach((request) -> assertThat(request.chunkIndexes().intersects(first.chunkIndexes())).isFalse());
		}

	}

}
