package org.jaywood.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an example deployment that the parser rejects or that lacks a service or
 * data centre of its profile.
 */
class ExampleDeploymentTests {

	@ParameterizedTest
	@CsvSource({ "kitamori, pool, kushiro-a", "association, rota-scribe, macon-room" })
	void exampleDeploymentIsValidAndComplete(String profile, String model, String dataCentre) throws IOException {
		Deployment deployment = new DeploymentParser()
			.parse(Files.readAllBytes(Path.of("examples", profile + ".yaml")));
		assertThat(deployment.dataCentres()).hasSize(3);
		assertThat(deployment.services()).hasSize(3);
		assertThat(deployment.acceptsNewWork(model, dataCentre)).isTrue();
	}

}
