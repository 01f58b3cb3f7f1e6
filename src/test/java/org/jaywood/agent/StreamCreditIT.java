package org.jaywood.agent;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.jaywood.agent.TestRouter.Handed;
import org.jaywood.agent.TestRouter.Result;
import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;
import org.jaywood.standin.TokenFunction;
import org.jaywood.wire.CreditGrant;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against engine memory held for a router that does not read, and against an
 * answer that loses or repeats tokens when its stream is resumed.
 */
class StreamCreditIT {

	private static final int TOKENS = 600;

	@Test
	void stalledStreamFreesItsEngineAndIsResumedWhole() throws Exception {
		try (Installation installation = SmallInstallation.start()) {
			Member agent = installation.agentsOf("pool").getFirst();
			TestRouter router = new TestRouter(installation, agent);
			Handed handed = router.handOver(router.nextAttempt(), "slow",
					Json.bytes(Map.of("prompt", "slow", "max_tokens", TOKENS)), Map.of());
			Installation.await("stalled stream frees its engine", 15_000,
					() -> SmallInstallation.record(installation, agent).path("cancelled").asInt() == 1
							&& SmallInstallation.status(installation, agent).path("memoryBytes").asLong() == 0);
			assertThat(installation.state(agent).path("calls").asInt()).isEqualTo(1);
			assertThat(installation.state(agent).path("inFlight").asInt()).isEqualTo(0);
			router.grant(handed, 2 * CreditGrant.INITIAL_BYTES);
			Result result = router.read(handed, 0);
			String weights = installation.state(agent).path("servedWeights").asText();
			assertThat(result.whole()).isTrue();
			assertThat(result.text()).isEqualTo(IntStream.range(0, TOKENS)
				.mapToObj((index) -> TokenFunction.token(weights, "slow", index))
				.collect(Collectors.joining()));
			assertThat(SmallInstallation.record(installation, agent).path("resumed").asInt()).isAtLeast(1);
		}
	}

}
