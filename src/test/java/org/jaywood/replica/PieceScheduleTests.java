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

class PieceScheduleTests {

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

	private PieceSchedule schedule(Upstream own, List<Upstream> known) {
		return new PieceSchedule(new SourcePlan(own, known, NEW, "dohoku"));
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
			PieceSchedule schedule = schedule(PieceScheduleTests.this.engines.getLast(),
					PieceScheduleTests.this.engines);
			List<PieceRequest> requests = schedule.next(all(), (peer) -> true, NOW);
			BitSet asked = new BitSet();
			requests.forEach((request) -> asked.or(request.pieces()));
			assertThat(requests.size()).isAtMost(13);
			assertThat(asked.cardinality()).isAtLeast(PIECES - 3);
		}

		@Test
		void aPieceIsAskedOfOneSourceAtATime() {
			PieceSchedule schedule = schedule(PieceScheduleTests.this.engines.getFirst(),
					PieceScheduleTests.this.engines);
			BitSet first = new BitSet();
			schedule.next(all(), (peer) -> true, NOW).forEach((request) -> first.or(request.pieces()));
			schedule.next(all(), (peer) -> true, NOW)
				.forEach((request) -> assertThat(request.pieces().intersects(first)).isFalse());
		}

		@Test
		void theOriginIsNotFloodedWhileNoPeerCanBeReached() {
			List<Upstream> small = PieceScheduleTests.this.engines.subList(0, 20);
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

		private final Upstream own = PieceScheduleTests.this.engines.getLast();

		private final PieceSchedule schedule = schedule(this.own, PieceScheduleTests.this.engines);

		private final BitSet piece = BitSet.valueOf(new long[] { 1 << 7 });

		private List<String> askedUntilOrigin(PieceSchedule schedule) {
			List<String> asked = new ArrayList<>();
			long nowMillis = NOW;
			List<PieceRequest> requests = schedule.next(this.piece, (peer) -> true, nowMillis);
			while (requests.size() == 1 && requests.getFirst() instanceof PieceRequest.FromPeer fromPeer) {
				asked.add(fromPeer.peer().id());
				nowMillis += ROUND_MILLIS;
				schedule.onEnd(fromPeer, true, this.piece, nowMillis);
				requests = schedule.next(this.piece, (peer) -> true, nowMillis);
			}
			assertThat(requests).contains(new PieceRequest.FromOrigin(7));
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
			Map<Integer, Long> agentsByRounds = PieceScheduleTests.this.engines.stream()
				.filter((engine) -> engine.region().equals("dohoku"))
				.map((engine) -> askedUntilOrigin(schedule(engine, PieceScheduleTests.this.engines)))
				.map((asked) -> asked.isEmpty() ? 0 : asked.size() / (int) asked.stream().distinct().count())
				.collect(Collectors.groupingBy((rounds) -> rounds, Collectors.counting()));
			assertThat(agentsByRounds).containsExactly(0, 1L, 1, 1L, 2, 2L, 3, 4L, 4, 8L, 5, 16L, 6, 32L, 7, 26L);
		}

		@Test
		void aRoundEndsAlsoWhileTheLastSourceCannotBeReached() {
			List<String> sources = askedUntilOrigin(schedule(this.own, PieceScheduleTests.this.engines)).stream()
				.distinct()
				.toList();
			Predicate<Upstream> reachable = (peer) -> !peer.id().equals(sources.getLast());
			long nowMillis = NOW;
			for (int asked = 0; asked < 10 * sources.size(); asked++) {
				List<PieceRequest> requests = this.schedule.next(this.piece, reachable, nowMillis);
				nowMillis += ROUND_MILLIS;
				for (PieceRequest request : requests) {
					if (request instanceof PieceRequest.FromOrigin) {
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
				List<PieceRequest> requests = this.schedule.next(this.piece, (peer) -> true, NOW);
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
			PieceRequest first = this.schedule.next(piece, (peer) -> true, NOW).getFirst();
			this.schedule.onEnd(first, false, piece, NOW);
			assertThat(this.schedule.next(piece, (peer) -> true, NOW)).containsExactly(first);
		}

		@Test
		void aFailureOfTheOriginBeginsAnew() {
			BitSet piece = new BitSet();
			piece.set(7);
			PieceRequest origin = this.schedule.next(piece, (peer) -> false, NOW).getFirst();
			this.schedule.onEnd(origin, true, piece, NOW);
			assertThat(this.schedule.next(piece, (peer) -> true, NOW).getFirst())
				.isInstanceOf(PieceRequest.FromPeer.class);
		}

		@Test
		void piecesThatArrivedAreNotAskedAgain() {
			PieceRequest first = this.schedule.next(all(), (peer) -> true, NOW).getFirst();
			BitSet missing = all();
			missing.andNot(first.pieces());
			this.schedule.onEnd(first, true, missing, NOW);
			this.schedule.next(missing, (peer) -> true, NOW)
				.forEach((request) -> assertThat(request.pieces().intersects(first.pieces())).isFalse());
		}

	}

}
