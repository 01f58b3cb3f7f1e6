package org.jaywood.bench;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.wire.Digests;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against wrong, mixed and truncated answers that look complete to the caller
 * while responses of agents are truncated, lost, reset and delayed and an agent is killed
 * during a stream.
 */
class WholeAnswersIT {

	private static final int TOKENS = 100;

	private static final long PHASE_MILLIS = 2_500;

	@Test
	void eachAnswerIsCompleteOrReportedAsFailed() throws Exception {
		InstallationOptions options = InstallationOptions.of(Profile.KITAMORI).withNetwork();
		try (Installation installation = Installation.start(options)) {
			String manifest = installation.addWeights("1", 65_536, 32_768);
			String digest = Digests.ofSet(List.of(manifest));
			installation.apply(installation.deployment("1", manifest));
			installation.awaitServing(digest, 20_000);
			installation.awaitGeneration(1, 10_000);
			LoadGenerator load = new LoadGenerator(LoadSettings.closed(installation, 8, TOKENS, 1))
				.allowWeights(digest);
			try (load) {
				load.start("faults");
				provokeFaults(installation);
				load.beginPhase("after");
				TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
			}
			load.phases()
				.forEach((name, figures) -> System.out
					.println("whole answers, " + name + ": " + figures.total() + " calls, " + figures.reasons()));
			System.out.println("whole answers: answered " + load.count(Outcome.ANSWERED) + " lost "
					+ load.count(Outcome.LOST) + " wrong " + load.count(Outcome.WRONG));
			assertThat(load.count(Outcome.WRONG)).isEqualTo(0);
			load.phases()
				.values()
				.forEach((figures) -> assertThat(figures.reasons()).doesNotContainKey(missingEndMarkerReason()));
			assertThat(load.count(Outcome.ANSWERED)).isAtLeast(50);
			assertThat(load.figures("after").count(Outcome.ANSWERED)).isAtLeast(1);
		}
	}

	/**
	 * Returns the reason of a stream that the router closed normally but without its end
	 * marker.
	 */
	private static String missingEndMarkerReason() {
		return Outcome.LOST + " no end marker";
	}

	private static void provokeFaults(Installation installation) throws IOException, InterruptedException {
		NetworkControl network = installation.network();
		List<Member> agents = installation.agentsOf(installation.profile().model().name());
		for (Member agent : agents) {
			network.addFault("TRUNCATE", Map.of("source", "*", "destination", agent.vm(), "direction", "REPLY",
					"atByte", 3_000, "times", 4));
			network.addFault("LOSE_REPLIES", Map.of("source", "entry-0", "destination", agent.vm(), "times", 2));
		}
		String delay = network.addFault("DELAY",
				Map.of("source", "entry-1", "destination", "*", "direction", "REPLY", "delayMillis", 40));
		TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
		network.removeFault(delay);
		for (Member agent : agents.subList(0, 3)) {
			String cut = network.cut("*", agent.vm());
			TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS / 5);
			network.removeFault(cut);
		}
		installation.fleet().kill(agents.getFirst().vm());
		TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
		installation.startProcess(agents.getFirst());
	}

}
