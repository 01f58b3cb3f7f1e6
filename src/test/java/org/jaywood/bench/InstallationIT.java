package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation.Member;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the complete path with real processes: a call to a model and a call to a plain
 * service are answered after an apply, with and without the network stand-in between the
 * VMs.
 */
class InstallationIT {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	@Test
	void answersCallsAfterApply() throws Exception {
		try (Installation installation = Installation.start(Profile.KITAMORI, 1)) {
			applyAndCall(installation);
		}
	}

	@Test
	void answersCallsThroughNetworkStandin() throws Exception {
		InstallationOptions options = InstallationOptions.of(Profile.ASSOCIATION).withRouters(1).withNetwork();
		try (Installation installation = Installation.start(options)) {
			applyAndCall(installation);
			// The platform is in the first region; the others watch it across the links.
			assertThat(installation.network().record().at("/traffic/regionBytes/ga-piedmont to la-delta").asLong())
				.isGreaterThan(0);
			assertThat(installation.network().record().at("/traffic/machineBytes/entry-0 sent").asLong())
				.isGreaterThan(0);
		}
	}

	@Test
	void signalsReachTheirProcess() throws Exception {
		try (Installation installation = Installation
			.start(InstallationOptions.of(Profile.KITAMORI).withRouters(1).withCredential("secret"))) {
			Member router = installation.routers().getFirst();
			installation.fleet().pause(router.vm());
			assertThat(answers(installation, router, 300)).isFalse();
			installation.fleet().resume(router.vm());
			assertThat(answers(installation, router, 5_000)).isTrue();
			installation.fleet().terminate(router.vm());
			assertThat(installation.fleet().awaitExit(router.vm(), 10_000)).isEqualTo(0);
			installation.startProcess(router);
			Installation.await("router answers again", 20_000, () -> answers(installation, router, 1_000));
			installation.fleet().kill(router.vm());
			assertThat(installation.fleet().awaitExit(router.vm(), 1_000)).isEqualTo(137);
		}
	}

	private static boolean answers(Installation installation, Member member, long timeoutMillis)
			throws InterruptedException {
		try {
			return installation.client()
				.get(member.operator().uri("/state"), Duration.ofMillis(timeoutMillis))
				.statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static void applyAndCall(Installation installation) throws Exception {
		String manifest = installation.addWeights("1", 262_144, 32_768);
		installation.apply(installation.deployment("1", manifest));
		installation.awaitServing(Digests.ofSet(List.of(manifest)), 20_000);
		installation.awaitGeneration(1, 10_000);
		String model = installation.profile().model().name();
		HttpResponse<byte[]> response = installation.client()
			.post(installation.routers().getFirst().caller().uri("/v1/completions"),
					Map.of("model", model, "prompt", "hello", "max_tokens", 4), TIMEOUT);
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(Json.tree(response.body()).path("count").asInt()).isEqualTo(4);
		String plain = installation.profile().services().get(1).name();
		HttpResponse<byte[]> visits = installation.client()
			.get(installation.routers().getFirst().caller().uri("/services/" + plain + "/visits"), TIMEOUT);
		assertThat(visits.statusCode()).isEqualTo(200);
		assertThat(Json.tree(visits.body()).path("path").asText()).isEqualTo("/visits");
	}

}
