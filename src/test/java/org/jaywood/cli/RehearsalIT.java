package org.jaywood.cli;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import org.jaywood.bench.ProcessFleet;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a build without its class archive, which results when the files of the
 * stub server no longer match the requests of the daemons.
 */
class RehearsalIT {

	private static final long EXIT_TIMEOUT_MILLIS = 40_000;

	@Test
	void answersCallsFromStubServerFiles() throws Exception {
		try (ProcessFleet fleet = new ProcessFleet()) {
			fleet.start("rehearsal", "rehearse", "--directory", Path.of("deploy", "rehearsal").toString());
			assertThat(fleet.awaitExit("rehearsal", EXIT_TIMEOUT_MILLIS)).isEqualTo(0);
		}
	}

}
