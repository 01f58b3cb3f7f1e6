package org.jaywood.agent;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an engine without callers that stays cold.
 */
class WarmUpIT {

	private static final int COLD_TURNS = 5;

	/**
	 * Guards against an engine without callers that stays cold and keeps the activation
	 * slot of its service for 10 s, so that six engines needed up to a minute to load new
	 * weights.
	 */
	@Test
	void coldEngineWithoutCallsTurnsWarm() throws Exception {
		try (Installation installation = SmallInstallation.start()) {
			Member agent = installation.agentsOf("pool").getFirst();
			Installation.await("engine is warm", 5_000,
					() -> SmallInstallation.status(installation, agent).path("state").asText().equals("warm"));
			SmallInstallation.control(installation, agent, Map.of("cold", true));
			Installation.await("engine is warm again", 5_000,
					() -> SmallInstallation.status(installation, agent).path("state").asText().equals("warm"));
			JsonNode record = SmallInstallation.record(installation, agent);
			assertThat(record.path("crashes").asInt(-1)).isEqualTo(0);
			assertThat(record.path("highestColdLoad").asInt()).isEqualTo(1);
		}
	}

	/**
	 * Guards against an engine without callers that stays cold for 10 s because it was
	 * warm only between two requests of the status poller.
	 */
	@Test
	void engineTurnedColdAgainAtOnceTurnsWarm() throws Exception {
		try (Installation installation = SmallInstallation.start()) {
			Member agent = installation.agentsOf("pool").getFirst();
			for (int coldTurn = 0; coldTurn < COLD_TURNS; coldTurn++) {
				SmallInstallation.awaitWarm(installation, agent);
				SmallInstallation.control(installation, agent, Map.of("cold", true));
				Installation.await("engine is warm again", 5_000,
						() -> SmallInstallation.status(installation, agent).path("state").asText().equals("warm"));
			}
		}
	}

}
