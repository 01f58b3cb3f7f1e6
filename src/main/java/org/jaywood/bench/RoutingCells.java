package org.jaywood.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Measures cells of the routing experiment, each with a rate and a number of tokens.
 * During the load, sampling callers alternate between a call through the router and the
 * same call directly to an engine, so that both are measured under the same load of
 * engines and machine.
 */
final class RoutingCells {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int SAMPLER_COUNT = 4;

	private static final long MAX_RECORDED_MICROS = TimeUnit.SECONDS.toMicros(60);

	private final Installation installation;

	private final String weightsDigest;

	private final int seconds;

	private final long seed;

	RoutingCells(Installation installation, String weights, int seconds, long seed) {
		this.installation = installation;
		this.weightsDigest = weights;
		this.seconds = seconds;
		this.seed = seed;
	}

	Cell run(int rate, int tokens) throws IOException, InterruptedException {
		List<Member> agents = this.installation.agentsOf(this.installation.profile().model().name());
		Member router = this.installation.routers().getFirst();
		Histogram routedMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
		Histogram directMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
		LoadSettings settings = LoadSettings.open(this.installation, rate, tokens, this.seed);
		LoadGenerator load = new LoadGenerator(settings).allowWeights(this.weightsDigest);
		double routerBefore = RoutingExperiment.cpuSeconds(this.installation, router);
		double agentsBefore = agentCpuSeconds(agents);
		long startNanos = System.nanoTime();
		try (load) {
			load.start("load");
			Thread[] samplers = new Thread[SAMPLER_COUNT];
			for (int i = 0; i < SAMPLER_COUNT; i++) {
				Address engine = agents.get(i % agents.size()).upstream();
				samplers[i] = Thread
					.startVirtualThread(() -> runSampler(router.caller(), engine, tokens, routedMicros, directMicros));
			}
			for (Thread sampler : samplers) {
				sampler.join();
			}
		}
		double elapsedSeconds = RoutingExperiment.secondsSince(startNanos);
		PhaseFigures figures = load.figures("load");
		double answered = figures.count(LoadResult.Outcome.ANSWERED) + routedMicros.getTotalCount();
		return new Cell(rate, tokens, answered / elapsedSeconds, figures.answeredShare(),
				(RoutingExperiment.cpuSeconds(this.installation, router) - routerBefore) / elapsedSeconds,
				(agentCpuSeconds(agents) - agentsBefore) / elapsedSeconds, routedMicros, directMicros);
	}

	private double agentCpuSeconds(List<Member> agents) throws IOException {
		double sum = 0;
		for (Member agent : agents) {
			sum += RoutingExperiment.cpuSeconds(this.installation, agent);
		}
		return sum;
	}

	private void runSampler(Address router, Address engine, int tokens, Histogram routedMicros,
			Histogram directMicros) {
		LoadClient client = new LoadClient(TIMEOUT);
		client.allowWeights(this.weightsDigest);
		String service = this.installation.profile().model().name();
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(this.seconds);
		try {
			while (System.nanoTime() < endNanos) {
				LoadCall call = new LoadCall(Kind.STREAM, service, "sampler", "sample " + UUID.randomUUID(), tokens);
				LoadResult result = client.call(router, call, System.nanoTime());
				if (RoutingExperiment.isAnswered(result)) {
					routedMicros.recordValue(Math.min(result.wholeMicros(), MAX_RECORDED_MICROS));
				}
				callDirectly(engine, tokens, directMicros);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void callDirectly(Address engine, int tokens, Histogram directMicros) throws InterruptedException {
		long startNanos = System.nanoTime();
		String id = "direct-" + UUID.randomUUID();
		HttpRequest request = this.installation.client()
			.request(engine.uri("/v1/completions"), TIMEOUT)
			.POST(BodyPublishers
				.ofByteArray(Json.bytes(Map.of("request_id", id, "prompt", id, "max_tokens", tokens, "priority", 5))))
			.build();
		try {
			HttpResponse<InputStream> response = this.installation.client().stream(request);
			try (BufferedReader lines = new BufferedReader(
					new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
				if (response.statusCode() == 200 && lines.lines().count() == tokens + 1) {
					directMicros.recordValue(Math.min(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos),
							MAX_RECORDED_MICROS));
				}
			}
		}
		catch (IOException | UncheckedIOException ex) {
			// No sample if the engine refuses the call or crashes.
		}
	}

	/**
	 * Measured values of a cell.
	 *
	 * @param rate calls a second of the load
	 * @param tokens tokens of each answer
	 * @param answeredPerSecond calls answered through the router each second
	 * @param answeredShare share of the calls of the load that were answered
	 * @param routerCores processor seconds of the router each second
	 * @param agentCores processor seconds of all agents each second
	 * @param routedMicros times of complete calls through router and agent
	 * @param directMicros times of complete calls directly to an engine
	 */
	record Cell(int rate, int tokens, double answeredPerSecond, double answeredShare, double routerCores,
			double agentCores, Histogram routedMicros, Histogram directMicros) {

		double addedMillis(double percentile) {
			return (this.routedMicros.getValueAtPercentile(percentile)
					- this.directMicros.getValueAtPercentile(percentile)) / 1_000.0;
		}

		Map<String, Object> toMap() {
			Map<String, Object> map = new LinkedHashMap<>();
			map.put("rate", this.rate);
			map.put("tokens", this.tokens);
			map.put("answeredPerSecond", this.answeredPerSecond);
			map.put("answeredShare", this.answeredShare);
			map.put("routerCpuPerSecond", this.routerCores);
			map.put("agentCpuPerSecond", this.agentCores);
			map.put("routedP99Millis", this.routedMicros.getValueAtPercentile(99) / 1_000.0);
			map.put("directP99Millis", this.directMicros.getValueAtPercentile(99) / 1_000.0);
			map.put("samples", this.routedMicros.getTotalCount());
			return map;
		}

	}

}
