package org.jaywood.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.bench.RoutingCells.Cell;
import org.jaywood.bench.Slope.Point;
import org.jaywood.wire.Digests;

/**
 * Measures the processor time of router and agent for each request and each token, the
 * latency that they add to a direct call of the engine, the retries when a fifth of the
 * calls of a plain service fail, and the share of answered calls of small workspaces
 * beside a large one at overload.
 */
public final class RoutingExperiment implements Experiment {

	private static final int MODEL_BYTES = 256 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	private static final long SERVING_TIMEOUT_MILLIS = 30_000;

	private static final List<Integer> RATES_PER_SECOND = List.of(20, 40, 80);

	private static final List<Integer> TOKEN_COUNTS = List.of(8, 32, 96);

	/**
	 * Index of the rate at which token counts are compared, and of the token count at
	 * which rates are compared.
	 */
	private static final int MIDDLE_INDEX = 1;

	private static final int MAX_CALLS_PER_ENGINE = 16;

	@Override
	public String name() {
		return "routing";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		InstallationOptions installationOptions = InstallationOptions.of(options.profile())
			.withRouters(1)
			.withTokenMillis(2)
			.withFlags("engine", "--max-concurrency", Integer.toString(MAX_CALLS_PER_ENGINE));
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("experiment", name());
		result.put("profile", options.profile().name());
		result.put("seed", options.seed());
		try (Installation installation = Installation.start(installationOptions)) {
			String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
			installation.apply(installation.deployment("1", manifest));
			String weights = Digests.ofSet(List.of(manifest));
			installation.awaitServing(weights, SERVING_TIMEOUT_MILLIS);
			installation.awaitGeneration(1, SERVING_TIMEOUT_MILLIS);
			measure(installation, weights, options, result);
		}
		// Uses its own installation with slow and small engines, so that the engines
		// reach their capacity before the processors of this machine do.
		WorkspaceLoad.Result fairness = WorkspaceLoad.overload(options.profile(), options.seconds(), options.seed());
		result.put("fairness", fairness.toMap());
		ResultLine.write(result, options.output());
		result.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals("cells") && !entry.getKey().equals("fairness"))
			.forEach((entry) -> System.out.printf("%-28s %s%n", entry.getKey(), entry.getValue()));
		System.out.print(fairness.table());
		return 0;
	}

	private static void measure(Installation installation, String weights, ExperimentOptions options,
			Map<String, Object> result) throws IOException, InterruptedException {
		RoutingCells cells = new RoutingCells(installation, weights, options.seconds(), options.seed());
		cells.run(RATES_PER_SECOND.get(MIDDLE_INDEX), TOKEN_COUNTS.get(MIDDLE_INDEX));
		List<Cell> byRate = new ArrayList<>();
		for (int rate : RATES_PER_SECOND) {
			byRate.add(cells.run(rate, TOKEN_COUNTS.get(MIDDLE_INDEX)));
		}
		List<Cell> byTokens = new ArrayList<>();
		for (int tokens : TOKEN_COUNTS) {
			byTokens.add(cells.run(RATES_PER_SECOND.get(MIDDLE_INDEX), tokens));
		}
		Map<String, Object> retries = new RetryLoad(installation).measureRetries(options.seconds());
		Cell highest = byRate.getLast();
		result.put("requestsPerSecond", highest.answeredPerSecond());
		result.put("addedLatencyP50Millis", highest.addedMillis(50));
		result.put("addedLatencyP99Millis", highest.addedMillis(99));
		result.put("cpuSecondsPerThousand",
				1_000 * (highest.routerCores() + highest.agentCores()) / highest.answeredPerSecond());
		result.put("retryRatio", retries.get("ratio"));
		result.put("retries", retries);
		result.put("cells", Stream.concat(byRate.stream(), byTokens.stream()).map(Cell::toMap).toList());
		putSlopes(result, "router", Cell::routerCores, byRate, byTokens);
		putSlopes(result, "agent", Cell::agentCores, byRate, byTokens);
		print(byRate, byTokens);
	}

	private static void putSlopes(Map<String, Object> result, String role, ToDoubleFunction<Cell> cpu,
			List<Cell> byRate, List<Cell> byTokens) {
		result.put(role + "CpuByRequestsPerSecond", Slope
			.fit(byRate.stream().map((cell) -> new Point(cell.answeredPerSecond(), cpu.applyAsDouble(cell))).toList()));
		result.put(role + "CpuPerRequestByTokens",
				Slope.fit(byTokens.stream()
					.map((cell) -> new Point(cell.tokens(), cpu.applyAsDouble(cell) / cell.answeredPerSecond()))
					.toList()));
	}

	private static void print(List<Cell> byRate, List<Cell> byTokens) {
		System.out.printf(Locale.ROOT, "%8s %7s %11s %9s %12s %12s %11s %11s%n", "rate/s", "tokens", "answered/s",
				"answered", "added p50 ms", "added p99 ms", "router cpu", "agent cpu");
		Stream.concat(byRate.stream(), byTokens.stream())
			.forEach((cell) -> System.out.printf(Locale.ROOT, "%8d %7d %11.1f %8.2f%% %12.2f %12.2f %11.4f %11.4f%n",
					cell.rate(), cell.tokens(), cell.answeredPerSecond(), 100 * cell.answeredShare(),
					cell.addedMillis(50), cell.addedMillis(99), cell.routerCores(), cell.agentCores()));
	}

	/**
	 * Returns the processor time of a member's process since its start, 0 if it was not
	 * started.
	 */
	static double cpuSeconds(Installation installation, Member member) throws IOException {
		Process process = installation.fleet().process(member.vm());
		return (process != null) ? ProcessUsage.of(process).cpuSeconds() : 0;
	}

	/**
	 * Returns the seconds since a time of the monotonic clock.
	 */
	static double secondsSince(long startNanos) {
		return (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
	}

	/**
	 * Whether a call got a complete and correct answer.
	 */
	static boolean isAnswered(LoadResult result) {
		return result.outcome() == Outcome.ANSWERED;
	}

}
