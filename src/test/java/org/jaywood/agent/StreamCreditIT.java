package org.jaywood.agent;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.jaywood.agent.TestRouter.Result;
import org.jaywood.agent.TestRouter.SentAttempt;
import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;
import org.jaywood.standin.TokenFunction;
import org.jaywood.wire.CreditGrant;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against engine memory that stays reserved for a router that does not read, and
 * against an answer that loses or repeats tokens when its stream is resumed.
 */
class StreamCreditIT {

	private static final int TOKENS = 600;

	@Test
	void streamWithoutCreditReleasesEngineAndIsResumedWhole() throws Exception {
		try (Installation installation = SmallInstallation.start()) {
			Member agent = installation.agentsOf("pool").getFirst();
			TestRouter router = new TestRouter(installation, agent);
			SentAttempt sentAttempt = router.sendAttempt(router.nextAttempt(), "slow",
					Json.bytes(Map.of("prompt", "slow", "max_tokens", TOKENS)), Map.of());
			awaitNoCredit(installation, agent);
			SmallInstallation.awaitWarm(installation, agent);
			assertThat(SmallInstallation.status(installation, agent).path("memoryBytes").asLong(-1)).isEqualTo(0);
			assertThat(SmallInstallation.status(installation, agent).path("inFlight").asInt(-1)).isEqualTo(0);
			assertThat(SmallInstallation.record(installation, agent).path("runs").path(sentAttempt.requestId()).asInt())
				.isAtLeast(1);
			assertThat(installation.state(agent).path("calls").asInt()).isEqualTo(1);
			assertThat(installation.state(agent).path("inFlight").asInt()).isEqualTo(0);
			router.grant(sentAttempt, 2 * CreditGrant.INITIAL_CREDIT_BYTES);
			Result result = router.readResult(sentAttempt, 0);
			String weights = installation.state(agent).path("servedWeights").asText();
			assertThat(result.whole()).isTrue();
			assertThat(result.text()).isEqualTo(text(weights));
			assertThat(SmallInstallation.record(installation, agent).path("resumed").asInt()).isAtLeast(1);
		}
	}

	/**
	 * Guards against an answer that a planned change of the weights cuts because its
	 * stream waits for credit and so holds no permit.
	 */
	@Test
	void newWeightsAreLoadedAfterStreamWithoutCreditEnds() throws Exception {
		try (Installation installation = SmallInstallation.start()) {
			Member agent = installation.agentsOf("pool").getFirst();
			String before = installation.state(agent).path("servedWeights").asText();
			TestRouter router = new TestRouter(installation, agent);
			SentAttempt sentAttempt = router.sendAttempt(router.nextAttempt(), "slow",
					Json.bytes(Map.of("prompt", "slow", "max_tokens", TOKENS)), Map.of());
			awaitNoCredit(installation, agent);
			SmallInstallation.awaitWarm(installation, agent);
			assertThat(installation.state(agent).path("inFlight").asInt(-1)).isEqualTo(0);
			String manifest = installation.addWeights("2", 262_144, 32_768);
			installation.apply(installation.deployment("2", manifest));
			Installation.await("activation waits for the stream", 20_000,
					() -> installation.state(agent).path("behindReason").asText().equals("waits for running calls"));
			router.grant(sentAttempt, 2 * CreditGrant.INITIAL_CREDIT_BYTES);
			Result result = router.readResult(sentAttempt, 0);
			assertThat(result.whole()).isTrue();
			assertThat(result.text()).isEqualTo(text(before));
			installation.awaitServing(Digests.ofSet(List.of(manifest)), 20_000);
			assertThat(SmallInstallation.record(installation, agent).path("impureTokens").asInt(-1)).isEqualTo(0);
		}
	}

	/**
	 * Waits until a stream has used up its credit. The engine has no calls then, but also
	 * for a moment between two segments, so the metric of suspended streams is checked.
	 */
	private static void awaitNoCredit(Installation installation, Member agent) throws InterruptedException {
		Installation.await("a stream waits for credit", 15_000,
				() -> Json
					.tree(installation.client().get(agent.operator().uri("/metrics"), Duration.ofSeconds(5)).body())
					.path("suspensions")
					.asInt() == 1);
	}

	private static String text(String weights) {
		return IntStream.range(0, TOKENS)
			.mapToObj((index) -> TokenFunction.token(weights, "slow", index))
			.collect(Collectors.joining());
	}

}
