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

	/**
	 * Time from the receipt of a target version in which its download must complete: the
	 * interval of versions less the time in which engines load one.
	 */
	private static final long DOWNLOAD_MILLIS = 8_000 - 3_000;

	private final List<Upstream> engines = Stream.of("doto", "dohoku", "donan", "doo")
		.flatMap((region) -> IntStream.range(0, PER_REGION)
			.mapToObj((number) -> RoutingFixtures.engine(region + number, region + "-a", region, 1)))
		.toList();

	/**
	 * Returns the seeds of the short run; the system property {@code seeds} sets their
	 * number.
	 */
	static LongStream seeds() {
		return LongStream.rangeClosed(1, Long.getLong("seeds", 12));
	}

	/**
	 * Guards against agents that all ask the origin for the same chunks when it returns,
	 * and against peers that are no longer asked because they had to wait themselves.
	 */
	@Nested
	class OriginReturn {

		@ParameterizedTest
		@CsvSource({ "500, 2_000", "500, 6_000", "500, 30_000", "1_300, 6_000", "2_400, 6_000", "0, 6_000" })
		void downloadCompletesInTimeAfterOriginReturns(long downMillis, long outageMillis) {
			DownloadSimulation simulation = new DownloadSimulation(OriginOutageTests.this.engines, NEW_VERSION,
					"dohoku");
			long upMillis = downMillis + outageMillis;
			simulation.stopOrigin(downMillis, upMillis);
			simulation.run(upMillis + DOWNLOAD_MILLIS);
			assertWithMessage(simulation.describe()).that(simulation.isComplete()).isTrue();
			assertWithMessage(simulation.describe()).that(simulation.originChunkCount())
				.isAtMost(2 * DownloadSimulation.CHUNKS);
		}

	}

	/**
	 * Guards against chunks that arrive long after the origin is back, because the
	 * requests that it had taken before it fell silent still wait.
	 */
	@Nested
	class SilentOrigin {

		/** Pause of the origin after which an agent gives up a chunk. */
		private static final long REQUEST_TIMEOUT_MILLIS = 1_500;

		@ParameterizedTest
		@CsvSource({ "500, 6_000", "1_300, 6_000", "1_300, 2_000" })
		void downloadCompletesInTimeAfterOriginReturns(long downMillis, long outageMillis) {
			DownloadSimulation simulation = new DownloadSimulation(OriginOutageTests.this.engines, NEW_VERSION,
					"dohoku");
			long upMillis = downMillis + outageMillis;
			simulation.silenceOrigin(downMillis, upMillis, REQUEST_TIMEOUT_MILLIS);
			simulation.run(upMillis + DOWNLOAD_MILLIS);
			assertWithMessage(simulation.describe()).that(simulation.isComplete()).isTrue();
			assertWithMessage(simulation.describe()).that(simulation.originChunkCount())
				.isAtMost(2 * DownloadSimulation.CHUNKS);
		}

	}

	/**
	 * Guards against downloads that do not complete when failures overlap: an origin that
	 * is down, agents that lose all chunks one after the other, and agents whose lists of
	 * engines differ.
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
			long downMillis = random.nextLong(FAILURES_MILLIS / 2);
			simulation.stopOrigin(downMillis, downMillis + random.nextLong(FAILURES_MILLIS / 2));
			List<Upstream> shuffled = new ArrayList<>(engines);
			Collections.shuffle(shuffled, random);
			shuffled.subList(0, random.nextInt(MAX_RESTARTS)).forEach((engine) -> {
				long stopMillis = random.nextLong(FAILURES_MILLIS - 2_000);
				simulation.restart(engine, stopMillis, stopMillis + random.nextLong(2_000));
			});
			List<Upstream> knownEngines = shuffled.subList(UNKNOWN_AGENTS, shuffled.size());
			knownEngines.subList(0, UNKNOWN_AGENTS)
				.forEach((engine) -> simulation.limitKnownEngines(engine, knownEngines,
						random.nextLong(FAILURES_MILLIS)));
			simulation.run(FAILURES_MILLIS + DOWNLOAD_MILLIS);
			assertWithMessage(simulation.describe()).that(simulation.isComplete()).isTrue();
			assertWithMessage(simulation.describe()).that(simulation.originChunkCount())
				.isAtMost(3 * DownloadSimulation.CHUNKS);
		}

	}

}
