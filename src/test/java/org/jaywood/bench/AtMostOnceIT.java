package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.f4b6a3.uuid.UuidCreator;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation.Member;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against bookings that run twice when callers repeat them through another router
 * while a router is killed by SIGKILL.
 */
class AtMostOnceIT {

	private static final int KEY_COUNT = 300;

	private static final int KILL_AT_KEY = 100;

	private static final int ATTEMPTS_PER_KEY = 6;

	@Test
	void runsEachKeyAtMostOnce() throws Exception {
		try (Installation installation = Installation.start(Profile.KITAMORI, 2);
				ExecutorService tasks = Executors.newFixedThreadPool(8)) {
			String manifest = installation.addWeights("1", 65_536, 32_768);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitGeneration(1, 10_000);
			Installation.await("plain service answers", 10_000, () -> call(installation, 0, newKey()) == 200);
			Map<String, Set<Integer>> statuses = new ConcurrentHashMap<>();
			List<Future<?>> callers = new ArrayList<>();
			for (int i = 0; i < KEY_COUNT; i++) {
				int number = i;
				callers.add(tasks.submit(() -> {
					if (number == KILL_AT_KEY) {
						killFirstRouter(installation);
					}
					String key = newKey();
					statuses.put(key, repeatCall(installation, key));
				}));
			}
			for (Future<?> caller : callers) {
				caller.get(60, TimeUnit.SECONDS);
			}
			Map<String, Long> runs = runs(installation);
			assertThat(runs.values().stream().filter((count) -> count > 1).toList()).isEmpty();
			long answered = statuses.entrySet().stream().filter((entry) -> entry.getValue().contains(200)).count();
			statuses.forEach((key, seenStatuses) -> {
				if (seenStatuses.contains(200)) {
					assertThat(runs).containsKey(key);
				}
			});
			System.out.println("at most once: keys " + KEY_COUNT + " answered " + answered + " run "
					+ runs.keySet().stream().filter(statuses::containsKey).count());
			// Eight callers run concurrently, so the kill leaves only few calls
			// unanswered.
			assertThat(answered).isAtLeast((long) KEY_COUNT - 16);
		}
	}

	/**
	 * Guards against a second run when a router is killed between its claim and the
	 * attempt or after the attempt, when the store's response to a claim is lost, and
	 * when an agent is paused and resumed. Delayed attempts arrive after the other router
	 * has taken the call over.
	 */
	@Test
	void runsEachKeyAtMostOnceUnderFaults() throws Exception {
		try (Installation installation = Installation.start(InstallationOptions.of(Profile.KITAMORI).withNetwork());
				ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
			String manifest = installation.addWeights("1", 65_536, 32_768);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitGeneration(1, 10_000);
			Installation.await("first router answers", 10_000, () -> call(installation, 0, newKey()) == 200);
			Installation.await("second router answers", 10_000, () -> call(installation, 1, newKey()) == 200);
			List<String> keys = new ArrayList<>();
			loseStoreResponses(installation, tasks, keys);
			pauseAgent(installation, tasks, keys);
			killRouter(installation, tasks, keys, true);
			killRouter(installation, tasks, keys, false);
			killRouterWhileAgentIsPaused(installation, tasks, keys);
			partitionRouterWhileResponsesAreLost(installation, tasks, keys);
			Map<String, Integer> lastStatuses = resolveOutcomes(installation, tasks, keys);
			Map<String, Long> runs = runs(installation);
			long answered = lastStatuses.values().stream().filter((status) -> status == 200).count();
			System.out.println(
					"at most once under faults: keys " + keys.size() + " settled as known " + answered + " statuses "
							+ lastStatuses.values()
								.stream()
								.collect(Collectors.groupingBy((status) -> status, Collectors.counting()))
							+ " run " + keys.stream().filter(runs::containsKey).count());
			assertThat(runs.values().stream().filter((count) -> count > 1).toList()).isEmpty();
			lastStatuses.forEach((key, status) -> {
				if (status == 200) {
					assertThat(runs).containsKey(key);
				}
			});
			// A key stays without an answer only if its agent is lost, and no agent was
			// killed.
			assertThat(answered).isAtLeast(keys.size() * 9L / 10);
		}
	}

	private static void loseStoreResponses(Installation installation, ExecutorService tasks, List<String> keys)
			throws Exception {
		installation.client()
			.post(installation.platform().uri("/control"), Map.of("loseReplies", 10), Duration.ofSeconds(5));
		List<Future<?>> calls = startCalls(installation, tasks, keys, 20);
		awaitAll(calls);
	}

	private static void pauseAgent(Installation installation, ExecutorService tasks, List<String> keys)
			throws Exception {
		String pausedAgent = installation.agentsOf("visit-desk").get(1).vm();
		installation.fleet().pause(pausedAgent);
		List<Future<?>> calls = startCalls(installation, tasks, keys, 20);
		TimeUnit.MILLISECONDS.sleep(1_500);
		installation.fleet().resume(pausedAgent);
		awaitAll(calls);
	}

	/**
	 * Kills the first router while its attempts are delayed before the agent or run at
	 * the service, and starts it again.
	 */
	private static void killRouter(Installation installation, ExecutorService tasks, List<String> keys,
			boolean beforeAttempt) throws Exception {
		Member router = installation.routers().getFirst();
		List<String> faults = new ArrayList<>();
		for (Member agent : installation.agentsOf("visit-desk")) {
			if (beforeAttempt) {
				faults.add(installation.network().partition(router.vm(), agent.vm()));
			}
			else {
				setUpstreamDelay(installation, agent, 700);
			}
		}
		List<Future<?>> calls = startCalls(installation, tasks, keys, 20);
		TimeUnit.MILLISECONDS.sleep(400);
		installation.fleet().kill(router.vm());
		List<Future<?>> repeats = repeatThroughSecondRouter(installation, tasks,
				keys.subList(keys.size() - 20, keys.size()));
		awaitAll(calls);
		awaitAll(repeats);
		for (String fault : faults) {
			installation.network().removeFault(fault);
		}
		for (Member agent : installation.agentsOf("visit-desk")) {
			setUpstreamDelay(installation, agent, 0);
		}
		installation.startProcess(router);
		Installation.await("router answers again", 20_000, () -> {
			try {
				return call(installation, 0, newKey()) == 200;
			}
			catch (IOException ex) {
				return false;
			}
		});
	}

	/**
	 * The claim names a paused agent, which does not answer a fence until it is resumed,
	 * and the router that wrote the claim has been killed.
	 */
	private static void killRouterWhileAgentIsPaused(Installation installation, ExecutorService tasks,
			List<String> keys) throws Exception {
		String pausedAgent = installation.agentsOf("visit-desk").getFirst().vm();
		installation.fleet().pause(pausedAgent);
		killRouter(installation, tasks, keys, false);
		installation.fleet().resume(pausedAgent);
	}

	/**
	 * Partitions one router from the platform while the other loses the platform's
	 * responses.
	 */
	private static void partitionRouterWhileResponsesAreLost(Installation installation, ExecutorService tasks,
			List<String> keys) throws Exception {
		String fault = installation.network().partition(installation.routers().getFirst().vm(), "platform");
		installation.client()
			.post(installation.platform().uri("/control"), Map.of("loseReplies", 10), Duration.ofSeconds(5));
		List<Future<?>> calls = startCalls(installation, tasks, keys, 20);
		List<Future<?>> repeats = repeatThroughSecondRouter(installation, tasks,
				keys.subList(keys.size() - 20, keys.size()));
		awaitAll(calls);
		awaitAll(repeats);
		installation.network().removeFault(fault);
	}

	private static List<Future<?>> repeatThroughSecondRouter(Installation installation, ExecutorService tasks,
			List<String> keys) {
		return keys.stream().<Future<?>>map((key) -> tasks.submit(() -> call(installation, 1, key))).toList();
	}

	private static void setUpstreamDelay(Installation installation, Member agent, long millis)
			throws IOException, InterruptedException {
		installation.client()
			.post(agent.upstream().uri("/control"), Map.of("delayMillis", millis), Duration.ofSeconds(5));
	}

	private static List<Future<?>> startCalls(Installation installation, ExecutorService tasks, List<String> keys,
			int count) {
		List<Future<?>> calls = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String key = newKey();
			keys.add(key);
			calls.add(tasks.submit(() -> call(installation, 0, key)));
		}
		return calls;
	}

	private static void awaitAll(List<Future<?>> calls) throws Exception {
		for (Future<?> call : calls) {
			try {
				call.get(20, TimeUnit.SECONDS);
			}
			catch (ExecutionException ex) {
				// The router was killed; the outcome is read through the other one.
			}
		}
	}

	private static Map<String, Integer> resolveOutcomes(Installation installation, ExecutorService tasks,
			List<String> keys) throws Exception {
		Map<String, Integer> lastStatuses = new ConcurrentHashMap<>();
		List<Future<?>> repeats = new ArrayList<>();
		for (String key : keys) {
			repeats.add(tasks.submit(() -> {
				for (int i = 0; i < ATTEMPTS_PER_KEY && lastStatuses.getOrDefault(key, 0) != 200; i++) {
					lastStatuses.put(key, call(installation, i % 2, key));
				}
				return key;
			}));
		}
		awaitAll(repeats);
		return lastStatuses;
	}

	private static String newKey() {
		return UuidCreator.getTimeOrderedEpoch().toString();
	}

	private static void killFirstRouter(Installation installation) {
		Process router = installation.fleet().process(installation.routers().getFirst().vm());
		if (router == null) {
			throw new IllegalStateException("no process of the first router");
		}
		router.destroyForcibly();
	}

	private static Set<Integer> repeatCall(Installation installation, String key) {
		Set<Integer> seenStatuses = ConcurrentHashMap.newKeySet();
		for (int i = 0; i < ATTEMPTS_PER_KEY; i++) {
			try {
				seenStatuses.add(call(installation, i % 2, key));
			}
			catch (IOException ex) {
				// The router was killed; the next call goes to the other one.
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
		return seenStatuses;
	}

	private static int call(Installation installation, int router, String key)
			throws IOException, InterruptedException {
		HttpRequest request = installation.client()
			.request(installation.routers().get(router).caller().uri("/services/visit-desk/bookings"),
					Duration.ofSeconds(10))
			.setHeader("Idempotency-Key", key)
			.POST(BodyPublishers.ofByteArray("{}".getBytes(StandardCharsets.UTF_8)))
			.build();
		HttpResponse<byte[]> response = installation.client().send(request);
		return response.statusCode();
	}

	/**
	 * Returns the number of runs at all upstreams by key. The id of a call with a key
	 * begins with the key.
	 */
	private static Map<String, Long> runs(Installation installation) throws IOException, InterruptedException {
		List<String> ids = new ArrayList<>();
		for (Member agent : installation.agentsOf("visit-desk")) {
			JsonNode record = Json
				.tree(installation.client().get(agent.upstream().uri("/record"), Duration.ofSeconds(5)).body());
			record.path("runs").valueStream().map(AtMostOnceIT::runId).forEach(ids::add);
		}
		return ids.stream()
			.collect(Collectors.groupingBy((id) -> id.substring(0, Math.min(36, id.length())), Collectors.counting()));
	}

	private static String runId(JsonNode run) {
		return run.isObject() ? run.path("id").asText(run.path("requestId").asText()) : run.asText();
	}

}
