package org.jaywood.replica;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.Upstream;
import org.jaywood.routing.Upstreams;

import static com.google.common.truth.Truth.assertWithMessage;

class OriginOutageTests {

	private static final NamedWeights NEW = new NamedWeights("model", 3);

	private static final int PER_REGION = 17;

	/** Time of a version from its naming, less the time in which engines load it. */
	private static final long TRANSFER_MILLIS = 8_000 - 3_000;

	private static List<Upstream> engines() {
		return Stream.of("doto", "dohoku", "donan", "doo")
			.flatMap((region) -> IntStream.range(0, PER_REGION)
				.mapToObj((number) -> Upstreams.engine(region + number, region + "-a", region, 1)))
			.toList();
	}

	/**
	 * Guards against agents that all turn to the origin for the same pieces when it
	 * returns, and against peers that are given up because they had to wait themselves.
	 */
	@Nested
	class Returns {

		@ParameterizedTest
		@CsvSource({ "500, 2_000", "500, 6_000", "500, 30_000", "1_300, 6_000", "2_400, 6_000", "0, 6_000" })
		void theVersionArrivesSoonAfterTheOriginIsBack(long awayMillis, long outageMillis) {
			TransferSimulation simulation = new TransferSimulation(engines(), NEW, "dohoku");
			long backMillis = awayMillis + outageMillis;
			simulation.takeOriginAway(awayMillis, backMillis);
			simulation.run(backMillis + TRANSFER_MILLIS);
			assertWithMessage(simulation.describe()).that(simulation.complete()).isTrue();
			assertWithMessage(simulation.describe()).that(simulation.originPieces())
				.isAtMost(2 * TransferSimulation.PIECES);
		}

	}

}
