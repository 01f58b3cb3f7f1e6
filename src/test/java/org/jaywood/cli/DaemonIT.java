package org.jaywood.cli;

import java.nio.file.Files;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.Profile;
import org.jaywood.event.Event;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against losing the events of a graceful shutdown. The shutdown hook of the
 * logging system used to close the log before a process had drained.
 */
class DaemonIT {

	@Test
	void logsDrainAndStopEventsOnSigterm() throws Exception {
		Profile profile = Profile.KITAMORI.withUpstreams("pool", 1).withUpstreams("visit-desk", 1);
		try (Installation installation = Installation.start(profile, 1)) {
			for (Member member : List.of(installation.routers().getFirst(), installation.agents().getFirst())) {
				installation.fleet().terminate(member.vm());
				assertThat(installation.fleet().awaitExit(member.vm(), 10_000)).isEqualTo(0);
				String log = Files.readString(installation.fleet().logDirectory().resolve(member.vm() + ".log"));
				assertThat(log).contains("\"event\":" + Event.PROCESS_DRAINING.number());
				assertThat(log).contains("\"event\":" + Event.PROCESS_STOPPED.number());
			}
		}
	}

}
