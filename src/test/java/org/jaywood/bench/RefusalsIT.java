package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.Installation.Member;
import org.jaywood.wire.CallOutcome;
import org.jaywood.wire.Headers;
import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a false "not run". Bookings without a key are made while connections to
 * agents break before, during and after an attempt, and each refusal is compared with the
 * runs that the upstreams recorded.
 */
class RefusalsIT {

	private static final String SERVICE = "visit-desk";

	private static final int CALLER_COUNT = 6;

	/**
	 * Number of bytes of an attempt's request that pass before the fault truncates it.
	 */
	private static final int TRUNCATED_REQUEST_BYTES = 700;

	private static final long PHASE_MILLIS = 2_500;

	private final Map<String, String> outcomes = new ConcurrentHashMap<>();

	private volatile boolean stopping;

	@Test
	void noRefusedCallRan() throws Exception {
		InstallationOptions options = InstallationOptions.of(Profile.KITAMORI).withNetwork();
		try (Installation installation = Installation.start(options);
				ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			String manifest = installation.addWeights("1", 65_536, 32_768);
			installation.apply(installation.deployment("1", manifest));
			installation.awaitGeneration(1, 10_000);
			for (Member router : installation.routers()) {
				Installation.await("plain service answers", 10_000, () -> answered(installation, router));
			}
			List<Future<?>> running = new ArrayList<>();
			for (int i = 0; i < CALLER_COUNT; i++) {
				Member router = installation.routers().get(i % 2);
				running.add(callers.submit(() -> book(installation, router)));
			}
			provokeFaults(installation);
			this.stopping = true;
			for (Future<?> caller : running) {
				caller.get(20, TimeUnit.SECONDS);
			}
			// Delayed attempts arrive before later calls are answered.
			for (Member router : installation.routers()) {
				Installation.await("plain service answers", 10_000, () -> answered(installation, router));
			}
			compare(paths(installation));
		}
	}

	private void provokeFaults(Installation installation) throws IOException, InterruptedException {
		NetworkControl network = installation.network();
		List<Member> agents = installation.agentsOf(SERVICE);
		String cutOff = network.partition(installation.routers().get(1).vm(), "platform");
		for (Member agent : agents) {
			for (Member router : installation.routers()) {
				network.addFault("TRUNCATE", Map.of("source", router.vm(), "destination", agent.vm(), "direction",
						"REQUEST", "atByte", TRUNCATED_REQUEST_BYTES, "times", 3));
				network.addFault("LOSE_REPLIES", Map.of("source", router.vm(), "destination", agent.vm(), "times", 3));
			}
		}
		TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
		String cut = network.cut("entry-0", agents.getFirst().vm());
		installation.fleet().pause(agents.get(1).vm());
		TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
		network.removeFault(cut);
		installation.fleet().resume(agents.get(1).vm());
		installation.fleet().kill(agents.get(2).vm());
		TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
		installation.startProcess(agents.get(2));
		TimeUnit.MILLISECONDS.sleep(PHASE_MILLIS);
		network.removeFault(cutOff);
	}

	private void compare(Map<String, Long> runs) {
		Map<String, Long> counts = this.outcomes.values()
			.stream()
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		List<String> falseRefusals = this.outcomes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(CallOutcome.NOT_RUN.headerValue())
					&& runs.containsKey(entry.getKey()))
			.map(Map.Entry::getKey)
			.toList();
		System.out.println("refusals: calls " + this.outcomes.size() + " outcomes " + counts + " false not run "
				+ falseRefusals.size());
		assertThat(falseRefusals).isEmpty();
		assertThat(runs.values().stream().filter((count) -> count > 1).toList()).isEmpty();
		this.outcomes.forEach((path, outcome) -> {
			if (outcome.equals(CallOutcome.ANSWERED.headerValue())) {
				assertThat(runs).containsKey(path);
			}
		});
		// Without refusals, the comparison above would be empty.
		assertThat(counts.getOrDefault(CallOutcome.NOT_RUN.headerValue(), 0L)).isAtLeast(1L);
		assertThat(counts.getOrDefault(CallOutcome.ANSWERED.headerValue(), 0L)).isAtLeast(100L);
	}

	private void book(Installation installation, Member router) {
		while (!this.stopping) {
			String path = "/bookings/" + UUID.randomUUID();
			try {
				HttpResponse<byte[]> response = call(installation, router, path);
				this.outcomes.put(path, response.headers().firstValue(Headers.OUTCOME).orElse("none"));
				TimeUnit.MILLISECONDS.sleep(10);
			}
			catch (IOException ex) {
				this.outcomes.put(path, "lost");
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private static boolean answered(Installation installation, Member router) throws InterruptedException {
		try {
			return call(installation, router, "/bookings/" + UUID.randomUUID()).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static HttpResponse<byte[]> call(Installation installation, Member router, String path)
			throws IOException, InterruptedException {
		HttpRequest request = installation.client()
			.request(router.caller().uri("/services/" + SERVICE + path), Duration.ofSeconds(10))
			.setHeader(Headers.DEADLINE_MILLIS, "2000")
			.POST(BodyPublishers.ofByteArray(new byte[2_000]))
			.build();
		return installation.client().send(request);
	}

	private static Map<String, Long> paths(Installation installation) throws IOException, InterruptedException {
		List<String> paths = new ArrayList<>();
		for (Member agent : installation.agentsOf(SERVICE)) {
			JsonNode record = Json
				.tree(installation.client().get(agent.upstream().uri("/record"), Duration.ofSeconds(5)).body());
			record.path("paths").valueStream().map(JsonNode::asText).forEach(paths::add);
		}
		return paths.stream().collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

}
