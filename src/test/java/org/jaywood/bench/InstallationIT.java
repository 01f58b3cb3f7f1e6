package org.jaywood.bench;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the whole path with real processes: a call to a model and one to a plain service
 * are answered after an apply.
 */
class InstallationIT {

	@Test
	void answersCallsAfterApply() throws Exception {
		try (Installation installation = Installation.start(Profile.KITAMORI, 1)) {
			String manifest = installation.addWeights("1", 262_144, 32_768);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitServing(Digests.ofSet(List.of(manifest)), 20_000);
			installation.awaitGeneration(1, 10_000);
			HttpResponse<byte[]> model = installation.client()
				.post(installation.routers().getFirst().caller().uri("/v1/completions"),
						Map.of("model", "pool", "prompt", "hello", "max_tokens", 4), Duration.ofSeconds(10));
			assertThat(model.statusCode()).isEqualTo(200);
			assertThat(Json.tree(model.body()).path("count").asInt()).isEqualTo(4);
			HttpResponse<byte[]> plain = installation.client()
				.get(installation.routers().getFirst().caller().uri("/services/visit-desk/visits"),
						Duration.ofSeconds(10));
			assertThat(plain.statusCode()).isEqualTo(200);
			assertThat(Json.tree(plain.body()).path("path").asText()).isEqualTo("/visits");
		}
	}

}
