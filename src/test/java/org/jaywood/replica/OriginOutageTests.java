package org.jaywood.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertWithMessage;

class OriginOutageTests {

	private static final ModelVersion NEW_VERSION = new ModelVersion("model", 3);

	private static final int PER_REGION = 17;

	/** Time of a version from its naming, less the time in which engines load it. */
	private static final long DOWNLOAD_MILLIS = 8_000 - 3_000;

	private final List<Upstream> engines = Stream.of("doto", "dohoku", "donan", "doo")
		.flatMap((region) -> IntStream.range(0, PER_REGION)
			.mapToObj((number) -> RoutingFixtures.engine(region + number, region + "-a", region, 1)))
		.toList();

	/**
	 * Seeds of the short run; more with the system property {@code seeds}.
	 */
	static LongStream seeds() {
		return LongStream.rangeClosed(1, Long.getLong("seeds", 12));
	}

	/**
	 * Guards against agents that all turn to the origin for the same pieces when it
	 * returns, and against peers that are given up because they had to wait themselves.
	 */
	@Nested
	class OriginReturn {

		@ParameterizedTest
		@CsvSource({ "500, 2_000", "500, 6_000", "500, 30_000", "1_300, 6_000", "2_400, 6_000", "0, 6_000" })
		void downloadCompletesInTimeAfterOriginReturns(long awayMillis, long outageMillis) {
			DownloadSimulation simulation = new DownloadSimulation(OriginOutageTests.this.engines, NEW_VERSION,
					"dohoku");
			long backMillis = awayMillis + outageMillis;
			simulation.stopOrigin(awayMillis, backMillis);
			simulation.run(backMillis + DOWNLOAD_MILLIS);
			assertWithMessage(simulation.describe()).that(simulation.isComplete()).isTrue();
			assertWithMessage(simulation.describe()).that(simulation.originChunkCount())
				.isAtMost(2 * DownloadSimulation.CHUNKS);
		}

	}

	/**
	 * Guards against transfers that do not end when troubles overlap: an origin that is
	 * away, agents that lose all pieces one after the other, and agents that do not know
	 * of each other yet.
	 */
	@Nested
	class OverlappingFailures {

		private static final long FAILURES_MILLIS = 10_000;

		private static final int MAX_RESTARTS = 20;

		private static final int UNKNOWN_AGENTS = 10;

		@ParameterizedTest
		@MethodSource("org.jaywood.replica.OriginOutageTests#seeds")
		void downloadCompletesInTimeAfterLastFailure(long seed) {
			Random random = new Random(seed);
			List<Upstream> engines = OriginOutageTests.this.engines;
			DownloadSimulation simulation = new DownloadSimulation(engines, NEW_VERSION, "dohoku");
			long awayMillis = random.nextLong(FAILURES_MILLIS / 2);
			simulation.stopOrigin(awayMillis, awayMillis + random.nextLong(FAILURES_MILLIS / 2));
			List<Upstream> shuffled = new ArrayList<>(engines);
			Collections.shuffle(shuffled, random);
			shuffled.subList(0, random.nextInt(MAX_RESTARTS)).forEach((engine) -> {
				long stopMillis = random.nextLong(FAILURES_MILLIS - 2_000);
				simulation.restart(engine, stopMillis, stopMillis + random.nextLong(2_000));
			});
			List<Upstream> known = shuffled.subList(UNKNOWN_AGENTS, shuffled.size());
			known.subList(0, UNKNOWN_AGENTS)
				.forEach((engine) -> simulation.limitKnownEngines(engine, known, random.nextLong(FAILURES_MILLIS)));
			simulation.run(FAILURES_MILLIS + DOWNLOAD_MILLIS);
			assertWithMessage(simulation.describe()).that(simulation.isComplete()).isTrue();
			assertWithMessage(simulation.describe()).that(simulation.originChunkCount())
				.isAtMost(3 * DownloadSimulation.CHUNKS);
		}

	}

}
