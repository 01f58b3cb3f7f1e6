package org.jaywood.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against new calls to an upstream later than 3 s after the platform's delayed
 * list shows its VM as leaving. The agent gets no signal, and one router cannot reach the
 * platform.
 */
class MembershipIT {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final long LIST_LAG_MILLIS = 1_000;

	private static final long MAX_NEW_WORK_MILLIS = 3_000;

	/** Long enough to see calls that arrive after the allowed time. */
	private static final long OBSERVATION_MILLIS = 6_000;

	@Test
	void noNewWorkWhenListedAsLeavingWithoutSignal() throws Exception {
		try (Installation installation = Installation
			.start(DataCentreExperiment.installationOptions(Profile.KITAMORI))) {
			String digest = deployAndAwaitServing(installation);
			installation.client()
				.post(installation.platform().uri("/control"), Map.of("vmLagMillis", LIST_LAG_MILLIS), TIMEOUT);
			installation.network().partition("entry-1", "platform");
			Member leaving = installation.agentsOf("pool").getFirst();
			LoadGenerator load = new LoadGenerator(LoadSettings.open(installation, 15, 10, 1)).allowWeights(digest);
			long changedMillis;
			long lastMillis;
			try (load) {
				load.start("before");
				Installation.await("the upstream gets work", 10_000,
						() -> lastArrivalMillis(installation, leaving) > 0);
				load.beginPhase("leaving");
				changedMillis = System.currentTimeMillis() + LIST_LAG_MILLIS;
				installation.register(leaving, "LEAVING");
				TimeUnit.MILLISECONDS.sleep(LIST_LAG_MILLIS + OBSERVATION_MILLIS);
				lastMillis = lastArrivalMillis(installation, leaving);
			}
			System.out.println("last new work " + (lastMillis - changedMillis) + " ms after the list's change, "
					+ load.phases().get("leaving").toMap());
			assertThat(lastMillis - changedMillis).isLessThan(MAX_NEW_WORK_MILLIS);
			assertThat(load.count(Outcome.LOST)).isEqualTo(0);
			assertThat(load.count(Outcome.WRONG)).isEqualTo(0);
			assertThat(load.figures("leaving").count(Outcome.ANSWERED)).isGreaterThan(50);
		}
	}

	/**
	 * Guards the graceful shutdown of an agent while the platform is down and one router
	 * cannot reach the agent.
	 */
	@Test
	void noNewWorkAfterShutdownWhilePlatformIsDownAndRouterIsPartitioned() throws Exception {
		try (Installation installation = Installation
			.start(DataCentreExperiment.installationOptions(Profile.KITAMORI))) {
			String digest = deployAndAwaitServing(installation);
			Member leaving = installation.agentsOf("pool").getFirst();
			LoadGenerator load = new LoadGenerator(LoadSettings.open(installation, 15, 10, 1)).allowWeights(digest);
			long stoppedMillis;
			int exit;
			try (load) {
				load.start("before");
				Installation.await("the upstream gets work", 10_000,
						() -> lastArrivalMillis(installation, leaving) > 0);
				installation.client().post(installation.platform().uri("/control"), Map.of("down", true), TIMEOUT);
				installation.network().partition(installation.routers().getLast().vm(), leaving.vm());
				load.beginPhase("leaving");
				stoppedMillis = System.currentTimeMillis();
				installation.fleet().terminate(leaving.vm());
				exit = installation.fleet().awaitExit(leaving.vm(), 40_000);
				TimeUnit.MILLISECONDS.sleep(OBSERVATION_MILLIS);
			}
			long lastMillis = lastArrivalMillis(installation, leaving);
			System.out.println("last new work " + (lastMillis - stoppedMillis) + " ms after SIGTERM, exit " + exit
					+ ", " + load.phases().get("leaving").toMap());
			assertThat(exit).isEqualTo(0);
			assertThat(lastMillis - stoppedMillis).isLessThan(MAX_NEW_WORK_MILLIS);
			assertThat(load.count(Outcome.LOST)).isEqualTo(0);
			assertThat(load.count(Outcome.WRONG)).isEqualTo(0);
			assertThat(load.figures("leaving").count(Outcome.ANSWERED)).isGreaterThan(50);
		}
	}

	/**
	 * Applies a deployment and waits until it is in force and served everywhere.
	 * @return digest of the weights served
	 */
	private static String deployAndAwaitServing(Installation installation) throws Exception {
		String manifest = installation.addWeights("1", 262_144, 32_768);
		String digest = Digests.ofSet(List.of(manifest));
		installation.apply(installation.deployment("1", manifest));
		installation.awaitServing(digest, 30_000);
		installation.awaitGeneration(1, 30_000);
		return digest;
	}

	private static long lastArrivalMillis(Installation installation, Member agent) throws Exception {
		return Json.tree(installation.client().get(agent.upstream().uri("/record"), TIMEOUT).body())
			.path("lastArrivalMillis")
			.asLong();
	}

}
