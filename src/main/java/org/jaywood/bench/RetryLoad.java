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
 * Closed loop of callers that replace items of a plain service of which a fifth of the
 * calls fail. Reads would not do: the HTTP client of the agent repeats a GET by itself
 * after a broken connection, so that the router saw 4 of 100 calls fail instead of 20.
 */
final class RetryLoad {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int CALLERS = 8;

	private static final double FAILED_SHARE = 0.2;

	private static final long REFUSED_PAUSE_MILLIS = 100;

	private final Installation installation;

	private final Address router;

	private final LoadClient client = new LoadClient(TIMEOUT);

	RetryLoad(Installation installation) {
		this.installation = installation;
		this.router = installation.routers().getFirst().caller();
	}

	/**
	 * Calls the first plain service while it drops a share of its replies.
	 */
	Map<String, Object> retries(int seconds) throws IOException, InterruptedException {
		String service = this.installation.profile()
			.services()
			.stream()
			.filter((shape) -> !shape.model())
			.findFirst()
			.orElseThrow()
			.name();
		List<Member> agents = this.installation.agentsOf(service);
		long handOversBefore = handOvers(agents);
		JsonNode before = idleRouterMetrics();
		long startNanos = System.nanoTime();
		fail(agents, FAILED_SHARE);
		Counts counts = replace(service, seconds);
		fail(agents, 0);
		JsonNode after = idleRouterMetrics();
		RetryFigures figures = RetryFigures.between(before, after, RoutingExperiment.secondsSince(startNanos));
		Map<String, Object> result = new LinkedHashMap<>(figures.toMap());
		result.put("answeredShare", counts.share());
		// Equals first attempts and retries unless calls waited for room in between.
		result.put("handOversAtAgents", handOvers(agents) - handOversBefore);
		return result;
	}

	/**
	 * Metrics of the router once all its calls are counted, which may be shortly after
	 * their callers got the answers.
	 */
	private JsonNode idleRouterMetrics() throws IOException, InterruptedException {
		Member member = this.installation.routers().getFirst();
		Installation.await("the router has no calls", TIMEOUT.toMillis(),
				() -> this.installation.state(member).path("inFlight").asInt() == 0);
		return this.installation.state(member).path("metrics");
	}

	/**
	 * Hand-overs that the agents admitted or refused.
	 */
	private long handOvers(List<Member> agents) throws IOException, InterruptedException {
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

	private void fail(List<Member> agents, double share) throws IOException, InterruptedException {
		for (Member agent : agents) {
			this.installation.client()
				.post(agent.upstream().uri("/control"), Map.of("dropReply", share > 0, "faultShare", share), TIMEOUT);
		}
	}

	private Counts replace(String service, int seconds) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		AtomicInteger number = new AtomicInteger();
		Counts counts = new Counts();
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			threads.add(Thread.startVirtualThread(() -> {
				while (System.nanoTime() < endNanos) {
					make(new LoadCall(Kind.REPLACE, service, "caller", "page-" + number.getAndIncrement(), 0), counts);
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
		return counts;
	}

	private void make(LoadCall call, Counts counts) {
		try {
			LoadResult result = this.client.call(this.router, call, System.nanoTime());
			if (result.outcome() == Outcome.ANSWERED) {
				counts.answered.incrementAndGet();
				return;
			}
			counts.failed.incrementAndGet();
			TimeUnit.MILLISECONDS.sleep(REFUSED_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Calls made by all callers.
	 */
	private static final class Counts {

		private final AtomicInteger answered = new AtomicInteger();

		private final AtomicInteger failed = new AtomicInteger();

		int total() {
			return this.answered.get() + this.failed.get();
		}

		double share() {
			return (double) this.answered.get() / Math.max(1, total());
		}

	}

}
