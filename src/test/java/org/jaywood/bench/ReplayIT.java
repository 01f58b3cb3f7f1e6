package org.jaywood.bench;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the stated outcomes of a recorded trace in which a data centre leaves in a busy
 * hour and returns.
 */
class ReplayIT {

	@Test
	void dataCentreOutInBusyHour() throws Exception {
		Trace trace = Trace.parse(Files.readAllLines(Path.of("src/test/traces/data-centre-out.trace")));
		assertThat(ReplayExperiment.replay(trace)).isTrue();
	}

}
