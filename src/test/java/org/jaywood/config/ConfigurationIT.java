package org.jaywood.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation;
import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.Profile;
import org.jaywood.store.Futures;
import org.jaywood.store.HttpPlatform;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards, with real processes, against an apply that reports a wrong outcome to its
 * author, and against a configuration that is not in force at all processes within
 * seconds or is replaced by an older one.
 */
class ConfigurationIT {

	private static final long MAX_IN_FORCE_MILLIS = 7_000;

	private static Installation installation;

	private static String manifest;

	@BeforeAll
	static void start() throws Exception {
		installation = Installation.start(Profile.KITAMORI, 3);
		manifest = installation.addWeights("1", 65_536, 32_768);
	}

	@AfterAll
	static void close() {
		installation.close();
	}

	private static ConfigurationRepository repository() {
		return new ConfigurationRepository(new HttpPlatform(installation.client(), installation.platform()));
	}

	/**
	 * Returns a deployment that differs from others in the share of a workspace.
	 */
	private static Deployment deployment(int share) {
		Deployment deployment = installation.deployment("1", manifest);
		return new Deployment(deployment.dataCentres(), deployment.services(),
				Map.of("north", new WorkspaceSpec(share)));
	}

	private static void control(Map<String, ?> control) throws Exception {
		installation.client().post(installation.platform().uri("/control"), control, Duration.ofSeconds(5));
	}

	private static JsonNode record() throws Exception {
		return Json
			.tree(installation.client().get(installation.platform().uri("/record"), Duration.ofSeconds(5)).body());
	}

	private static List<Member> members() {
		return Stream.concat(installation.routers().stream(), installation.agents().stream()).toList();
	}

	private static AppliedConfiguration inForceAt(Member member) throws Exception {
		return Json.read(
				installation.client().get(member.advertised().uri("/v1/configuration"), Duration.ofSeconds(5)).body(),
				AppliedConfiguration.class);
	}

	@Test
	void configurationIsInForceAtAllProcessesWithinSevenSeconds() throws Exception {
		AppliedConfiguration first = repository().apply(deployment(10), "first", System.currentTimeMillis());
		installation.awaitGeneration(first.generation(), 20_000);
		List<Long> durationsMillis = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			long startNanos = System.nanoTime();
			AppliedConfiguration applied = repository().apply(deployment(11 + i), "a", System.currentTimeMillis());
			installation.awaitGeneration(applied.generation(), MAX_IN_FORCE_MILLIS);
			durationsMillis.add((System.nanoTime() - startNanos) / 1_000_000);
		}
		System.out.println("in force at " + members().size() + " processes after ms: " + durationsMillis);
		assertThat(durationsMillis.stream().mapToLong(Long::longValue).max().orElseThrow())
			.isLessThan(MAX_IN_FORCE_MILLIS);
	}

	@Test
	void losingConcurrentApplyReportsWinningAuthor() throws Exception {
		int operators = 8;
		List<CompletableFuture<AppliedConfiguration>> applies = new ArrayList<>();
		long generationBefore = repository().current().map(AppliedConfiguration::generation).orElse(0L);
		for (int i = 0; i < operators; i++) {
			String author = "operator-" + i;
			Deployment deployment = deployment(100 + i);
			applies.add(Futures.run(() -> repository().apply(deployment, author, System.currentTimeMillis())));
		}
		Map<Long, AppliedConfiguration> winners = new HashMap<>();
		int conflicts = 0;
		for (CompletableFuture<AppliedConfiguration> apply : applies) {
			try {
				AppliedConfiguration applied = Futures.await(apply);
				assertThat(winners.put(applied.generation(), applied)).isNull();
			}
			catch (ApplyConflictException ex) {
				conflicts++;
				assertThat(ex.generation()).isGreaterThan(generationBefore);
				assertThat(ex.author()).startsWith("operator-");
			}
		}
		assertThat(winners.size() + conflicts).isEqualTo(operators);
		assertThat(winners).isNotEmpty();
		AppliedConfiguration last = repository().current().orElseThrow();
		assertThat(winners.get(last.generation())).isEqualTo(last);
		assertThat(last.generation()).isEqualTo(generationBefore + winners.size());
		installation.awaitGeneration(last.generation(), MAX_IN_FORCE_MILLIS);
		System.out.println("race of " + operators + " operators: won " + winners.size() + ", lost " + conflicts);
	}

	@Test
	void appliesOnceWhenResponseIsLost() throws Exception {
		long generationBefore = repository().current().map(AppliedConfiguration::generation).orElse(0L);
		control(Map.of("loseReplies", 1, "loseKind", "configuration"));
		AppliedConfiguration applied = repository().apply(deployment(200), "a", System.currentTimeMillis());
		assertThat(applied.generation()).isEqualTo(generationBefore + 1);
		assertThat(repository().current()).hasValue(applied);
		installation.awaitGeneration(applied.generation(), MAX_IN_FORCE_MILLIS);
	}

	@Test
	void processesAdoptNewerGenerationOfPeerWhilePlatformIsDown() throws Exception {
		AppliedConfiguration applied = repository().apply(deployment(300), "a", System.currentTimeMillis());
		installation.awaitGeneration(applied.generation(), MAX_IN_FORCE_MILLIS);
		control(Map.of("down", true));
		try {
			// Only this peer has a newer generation and reports it in probes, like a
			// router that read it from the platform right before the outage.
			AppliedConfiguration newer = new AppliedConfiguration(applied.generation() + 1, "newer", "b",
					System.currentTimeMillis(), deployment(301).digest(), deployment(301));
			try (NewerPeer peer = new NewerPeer(installation.fleet().address(9, 1, 9, 7100), newer)) {
				peer.probe(installation.agents().getFirst().advertised());
				installation.awaitGeneration(newer.generation(), MAX_IN_FORCE_MILLIS);
			}
			assertThat(inForceAt(installation.routers().getFirst()).author()).isEqualTo("b");
		}
		finally {
			control(Map.of("down", false));
		}
		// The platform still has the older generation; the next apply must use one
		// above the highest generation seen.
		AppliedConfiguration next = repository().apply(deployment(302),
				new ApplyOptions("c", System.currentTimeMillis(), OptionalLong.empty(), applied.generation() + 1));
		installation.awaitGeneration(next.generation(), 15_000);
		assertThat(next.generation()).isEqualTo(applied.generation() + 2);
	}

	@Test
	void restartedRouterAdoptsGenerationOfPeersWhilePlatformIsDown() throws Exception {
		AppliedConfiguration applied = repository().apply(deployment(400), "a", System.currentTimeMillis());
		installation.awaitGeneration(applied.generation(), MAX_IN_FORCE_MILLIS);
		Member router = installation.routers().getFirst();
		control(Map.of("down", true));
		try {
			Process process = installation.fleet().process(router.vm());
			assertThat(process).isNotNull();
			process.destroyForcibly().waitFor();
			installation.startProcess(router);
			// The caller port opens only after the router has adopted a configuration.
			Callable<Boolean> callerPortResponds = () -> installation.client()
				.get(router.caller().uri("/nothing"), Duration.ofSeconds(2))
				.statusCode() == 404;
			Installation.await("caller port open", 20_000, callerPortResponds);
			assertThat(installation.state(router).path("generation").asLong()).isEqualTo(applied.generation());
			assertThat(installation.state(router).path("peer").path("ready").asBoolean()).isTrue();
		}
		finally {
			control(Map.of("down", false));
		}
	}

	/**
	 * Guards against processes that treat a long outage of the platform as their own
	 * isolation, after 30 s of which they refuse calls, and against a generation that
	 * changes during the outage.
	 */
	@Test
	void generationStaysInForceWhilePlatformIsDownForAMinute() throws Exception {
		AppliedConfiguration applied = repository().apply(deployment(450), "a", System.currentTimeMillis());
		installation.awaitGeneration(applied.generation(), MAX_IN_FORCE_MILLIS);
		Member router = installation.routers().getLast();
		long endNanos = System.nanoTime() + Duration.ofMinutes(1).toNanos();
		control(Map.of("down", true));
		try {
			installation.fleet().kill(router.vm());
			installation.startProcess(router);
			Installation.await("router is ready", 20_000,
					() -> installation.state(router).path("peer").path("ready").asBoolean());
			while (System.nanoTime() < endNanos) {
				for (Member member : members()) {
					JsonNode state = installation.state(member);
					assertThat(state.path("generation").asLong()).isEqualTo(applied.generation());
					assertThat(state.path("peer").path("isolated").asBoolean(true)).isFalse();
				}
			}
		}
		finally {
			control(Map.of("down", false));
		}
		long startNanos = System.nanoTime();
		AppliedConfiguration next = repository().apply(deployment(451), "a", System.currentTimeMillis());
		installation.awaitGeneration(next.generation(), MAX_IN_FORCE_MILLIS);
		System.out.println("in force after an outage of a minute: " + (System.nanoTime() - startNanos) / 1_000_000
				+ " ms at " + members().size() + " processes");
	}

	@Test
	void keepsGenerationWhenPlatformRestoresOlderOne() throws Exception {
		AppliedConfiguration older = repository().apply(deployment(500), "a", System.currentTimeMillis());
		AppliedConfiguration newer = repository().apply(deployment(501), "a", System.currentTimeMillis());
		installation.awaitGeneration(newer.generation(), MAX_IN_FORCE_MILLIS);
		control(Map.of("restore", Map.of("kind", "configuration", "name", "current", "writesAgo", 1)));
		assertThat(repository().current()).hasValue(older);
		// A router started now reads the older generation from the platform and must
		// prefer the newer one of its peers.
		Member router = installation.routers().getLast();
		Process process = installation.fleet().process(router.vm());
		assertThat(process).isNotNull();
		process.destroyForcibly().waitFor();
		installation.startProcess(router);
		Installation.await("router is ready", 20_000,
				() -> installation.state(router).path("peer").path("ready").asBoolean());
		Installation.await("router has the newer generation", MAX_IN_FORCE_MILLIS,
				() -> installation.state(router).path("generation").asLong() == newer.generation());
		for (Member member : members()) {
			assertThat(installation.state(member).path("generation").asLong()).isEqualTo(newer.generation());
		}
		AppliedConfiguration next = repository().apply(deployment(502), "a", System.currentTimeMillis());
		assertThat(next.generation()).isGreaterThan(newer.generation());
		installation.awaitGeneration(next.generation(), MAX_IN_FORCE_MILLIS);
	}

	@Test
	void atMostThreeProcessesWatchInEachDataCentre() throws Exception {
		AppliedConfiguration applied = repository().apply(deployment(600), "a", System.currentTimeMillis());
		installation.awaitGeneration(applied.generation(), MAX_IN_FORCE_MILLIS);
		Installation.await("three watchers in each data centre", 10_000, () -> {
			Map<String, Integer> watchers = new HashMap<>();
			for (Member member : members()) {
				if (installation.state(member).path("peer").path("watcher").asBoolean()) {
					watchers.merge(member.dataCentre(), 1, Integer::sum);
				}
			}
			return watchers.values().stream().allMatch((count) -> count <= 3);
		});
		assertThat(record().path("watch configuration").asLong()).isGreaterThan(0);
	}

}
