package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Closed loop of callers that replace items of a plain service while a fifth of its calls
 * fail. The load uses PUT because the HTTP client of the agent retries a GET by itself
 * after a broken connection: with GET, the router saw 4 of 100 calls fail instead of 20.
 */
final class RetryLoad {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int CALLER_COUNT = 8;

	private static final double DROPPED_RESPONSE_SHARE = 0.2;

	private static final long FAILURE_RETRY_DELAY_MILLIS = 100;

	private final Installation installation;

	private final Address callerPort;

	private final LoadClient client = new LoadClient(TIMEOUT);

	RetryLoad(Installation installation) {
		this.installation = installation;
		this.callerPort = installation.routers().getFirst().caller();
	}

	/**
	 * Calls the first plain service while it drops a share of its responses.
	 */
	Map<String, Object> measureRetries(int seconds) throws IOException, InterruptedException {
		String service = this.installation.profile()
			.services()
			.stream()
			.filter((shape) -> !shape.model())
			.findFirst()
			.orElseThrow()
			.name();
		List<Member> agents = this.installation.agentsOf(service);
		long attemptsBefore = countAttempts(agents);
		JsonNode before = idleRouterMetrics();
		long startNanos = System.nanoTime();
		dropResponses(agents, DROPPED_RESPONSE_SHARE);
		Counts counts = runCallers(service, seconds);
		dropResponses(agents, 0);
		JsonNode after = idleRouterMetrics();
		RetryFigures figures = RetryFigures.between(before, after, RoutingExperiment.secondsSince(startNanos));
		Map<String, Object> result = new LinkedHashMap<>(figures.toMap());
		result.put("answeredShare", counts.answeredShare());
		// Equals first attempts and retries unless calls waited in the queue between
		// attempts.
		result.put("handOversAtAgents", countAttempts(agents) - attemptsBefore);
		return result;
	}

	/**
	 * Returns the metrics of the router once all its calls are counted, which may be
	 * shortly after their callers got the answers.
	 */
	private JsonNode idleRouterMetrics() throws IOException, InterruptedException {
		Member member = this.installation.routers().getFirst();
		Installation.await("the router has no calls", TIMEOUT.toMillis(),
				() -> this.installation.state(member).path("inFlight").asInt() == 0);
		return this.installation.state(member).path("metrics");
	}

	/**
	 * Returns the number of attempts that the agents admitted or refused.
	 */
	private long countAttempts(List<Member> agents) throws IOException, InterruptedException {
		long sum = 0;
		for (Member agent : agents) {
			JsonNode metrics = Json
				.tree(this.installation.client().get(agent.operator().uri("/metrics"), TIMEOUT).body());
			sum += metrics.properties()
				.stream()
				.filter((field) -> field.getKey().equals("admissions") || field.getKey().startsWith("refusals."))
				.mapToLong((field) -> field.getValue().asLong())
				.sum();
		}
		return sum;
	}

	private void dropResponses(List<Member> agents, double share) throws IOException, InterruptedException {
		for (Member agent : agents) {
			this.installation.client()
				.post(agent.upstream().uri("/control"), Map.of("dropReply", share > 0, "faultShare", share), TIMEOUT);
		}
	}

	private Counts runCallers(String service, int seconds) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		AtomicInteger number = new AtomicInteger();
		Counts counts = new Counts();
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < CALLER_COUNT; i++) {
			threads.add(Thread.startVirtualThread(() -> {
				while (System.nanoTime() < endNanos) {
					makeCall(new LoadCall(Kind.REPLACE, service, "caller", "page-" + number.getAndIncrement(), 0),
							counts);
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
		return counts;
	}

	private void makeCall(LoadCall call, Counts counts) {
		try {
			LoadResult result = this.client.call(this.callerPort, call, System.nanoTime());
			if (result.outcome() == Outcome.ANSWERED) {
				counts.answered.incrementAndGet();
				return;
			}
			counts.failed.incrementAndGet();
			TimeUnit.MILLISECONDS.sleep(FAILURE_RETRY_DELAY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Number of calls of all callers by outcome.
	 */
	private static final class Counts {

		private final AtomicInteger answered = new AtomicInteger();

		private final AtomicInteger failed = new AtomicInteger();

		int totalCalls() {
			return this.answered.get() + this.failed.get();
		}

		double answeredShare() {
			return (double) this.answered.get() / Math.max(1, totalCalls());
		}

	}

}
