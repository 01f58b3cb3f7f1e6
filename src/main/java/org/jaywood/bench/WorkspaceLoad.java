package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Closed loops of callers by workspace, for retries under failures and for the share of
 * each workspace at overload.
 */
final class WorkspaceLoad {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int SMALL_WORKSPACES = 9;

	private static final int SMALL_CALLERS = 2;

	/** Enough to fill every engine of either profile on its own. */
	private static final int LARGE_CALLERS = 300;

	private static final int TOKENS = 50;

	private static final int READERS = 8;

	private static final double FAILED_SHARE = 0.2;

	private static final long REFUSED_PAUSE_MILLIS = 100;

	private final Installation installation;

	private final Address router;

	private final LoadClient client = new LoadClient(TIMEOUT);

	WorkspaceLoad(Installation installation) {
		this.installation = installation;
		this.router = installation.routers().getFirst().caller();
	}

	/**
	 * Reads from the first plain service while it drops a share of its replies.
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
		Counts counts = new Counts();
		loop(IntStream.range(0, READERS).mapToObj((caller) -> counts).toList(), seconds,
				(number) -> new LoadCall(Kind.READ, service, "reader", "page-" + number, 0));
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

	/**
	 * Lets one large workspace overload the engines beside nine small ones.
	 */
	Map<String, Object> overload(int seconds) throws InterruptedException {
		List<Counts> workspaces = new ArrayList<>();
		List<Counts> callers = new ArrayList<>();
		for (int i = 0; i <= SMALL_WORKSPACES; i++) {
			Counts counts = new Counts();
			workspaces.add(counts);
			int count = (i == 0) ? LARGE_CALLERS : SMALL_CALLERS;
			IntStream.range(0, count).forEach((caller) -> callers.add(counts));
		}
		String service = this.installation.profile().model().name();
		loop(callers, seconds, (number) -> new LoadCall(Kind.WHOLE, service, "", "overload " + number, TOKENS),
				workspaces);
		List<Counts> small = workspaces.subList(1, workspaces.size());
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("largeAnsweredPerSecond", workspaces.getFirst().answered.get() / (double) seconds);
		result.put("largeAnsweredShare", workspaces.getFirst().share());
		result.put("smallAnsweredPerSecond",
				small.stream().mapToInt((counts) -> counts.answered.get()).sum() / (double) seconds);
		result.put("smallAnsweredShareLowest", small.stream().mapToDouble(Counts::share).min().orElse(0));
		result.put("smallAnsweredShareHighest", small.stream().mapToDouble(Counts::share).max().orElse(0));
		return result;
	}

	private void loop(List<Counts> callers, int seconds, CallSource source) throws InterruptedException {
		loop(callers, seconds, source, List.of());
	}

	private void loop(List<Counts> callers, int seconds, CallSource source, List<Counts> workspaces)
			throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		AtomicInteger number = new AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		for (Counts counts : callers) {
			String workspace = "workspace-" + Math.max(0, workspaces.indexOf(counts));
			threads.add(Thread.startVirtualThread(() -> {
				while (System.nanoTime() < endNanos) {
					LoadCall call = source.next(number.getAndIncrement());
					make(new LoadCall(call.kind(), call.service(), workspace, call.prompt(), call.tokens()), counts);
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
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
	 * Calls of a workspace.
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

	/**
	 * Next call of a caller.
	 */
	@FunctionalInterface
	private interface CallSource {

		LoadCall next(int number);

	}

}
