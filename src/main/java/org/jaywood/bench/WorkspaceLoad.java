package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.jaywood.bench.LoadCall.Kind;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.config.Deployment;
import org.jaywood.config.WorkspaceSpec;
import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;

/**
 * Overloads the engines with calls of one large and nine small workspaces that have equal
 * shares, and compares the answered calls of the two kinds. Each small workspace offers
 * half of its fair share, so that all its calls could be answered.
 */
final class WorkspaceLoad {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int MODEL_BYTES = 256 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	private static final long SERVING_TIMEOUT_MILLIS = 30_000;

	private static final int SMALL_WORKSPACE_COUNT = 9;

	/** Offered load as a multiple of the capacity of the engines. */
	private static final double OVERLOAD_FACTOR = 2;

	/** Offered load of a small workspace as a part of its fair share. */
	private static final double SMALL_DEMAND_SHARE = 0.5;

	/**
	 * Highest number of concurrent calls of an engine. Few and slow calls let the engines
	 * reach their capacity before the processors of this machine do.
	 */
	private static final int MAX_CALLS_PER_ENGINE = 4;

	private static final int TOKEN_MILLIS = 10;

	private static final int TOKENS = 25;

	/**
	 * Duration of the load before and after the measured calls. It is longer than a call
	 * waits in the router's queue, so that the queue is steady when the first measured
	 * call arrives and new load still arrives until the last one ends.
	 */
	private static final int RAMP_SECONDS = 7;

	/**
	 * Highest number of concurrent calls, well above the number that are queued at the
	 * router or run.
	 */
	private static final int MAX_CONCURRENT_CALLS = 2_000;

	private final Installation installation;

	private final Address callerPort;

	private final LoadClient client = new LoadClient(TIMEOUT);

	private final long seed;

	private WorkspaceLoad(Installation installation, String weights, long seed) {
		this.installation = installation;
		this.callerPort = installation.routers().getFirst().caller();
		this.seed = seed;
		this.client.allowWeights(weights);
	}

	/**
	 * Starts an installation, measures the capacity of its engines and overloads them.
	 * @param profile shape of the installation
	 * @param seconds length of the measured overload
	 * @param seed seed of the load
	 */
	static Result overload(Profile profile, int seconds, long seed) throws IOException, InterruptedException {
		InstallationOptions options = InstallationOptions.of(profile)
			.withRouters(1)
			.withTokenMillis(TOKEN_MILLIS)
			.withFlags("engine", "--max-concurrency", Integer.toString(MAX_CALLS_PER_ENGINE));
		try (Installation installation = Installation.start(options)) {
			String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
			installation.apply(withWorkspaces(installation.deployment("1", manifest)));
			String weights = Digests.ofSet(List.of(manifest));
			installation.awaitServing(weights, SERVING_TIMEOUT_MILLIS);
			installation.awaitGeneration(1, SERVING_TIMEOUT_MILLIS);
			double capacity = new EngineCapacity(installation, weights, MAX_CALLS_PER_ENGINE, TOKENS, seed)
				.measureAnswersPerSecond();
			return new WorkspaceLoad(installation, weights, seed).overload(capacity, seconds);
		}
	}

	/**
	 * Returns the deployment with all workspaces declared. A router schedules all
	 * workspaces that are not declared as one.
	 */
	private static Deployment withWorkspaces(Deployment deployment) {
		Map<String, WorkspaceSpec> workspaces = IntStream.rangeClosed(0, SMALL_WORKSPACE_COUNT)
			.boxed()
			.collect(Collectors.toMap(WorkspaceLoad::workspace, (number) -> new WorkspaceSpec(1)));
		return new Deployment(deployment.dataCentres(), deployment.services(), workspaces);
	}

	private static String workspace(int number) {
		return "workspace-" + number;
	}

	private Result overload(double capacity, int seconds) throws InterruptedException {
		double smallRate = SMALL_DEMAND_SHARE * capacity / (SMALL_WORKSPACE_COUNT + 1);
		double largeRate = OVERLOAD_FACTOR * capacity - SMALL_WORKSPACE_COUNT * smallRate;
		PhaseFigures large = new PhaseFigures();
		PhaseFigures allSmall = new PhaseFigures();
		List<PhaseFigures> eachSmall = new ArrayList<>();
		Semaphore running = new Semaphore(MAX_CONCURRENT_CALLS);
		long fromNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RAMP_SECONDS);
		long untilNanos = fromNanos + TimeUnit.SECONDS.toNanos(seconds);
		List<Thread> workspaces = new ArrayList<>();
		workspaces.add(Thread.startVirtualThread(
				() -> generateLoad(new OfferedLoad(0, largeRate, fromNanos, untilNanos, List.of(large)), running)));
		for (int i = 1; i <= SMALL_WORKSPACE_COUNT; i++) {
			PhaseFigures figures = new PhaseFigures();
			eachSmall.add(figures);
			OfferedLoad load = new OfferedLoad(i, smallRate, fromNanos, untilNanos, List.of(figures, allSmall));
			workspaces.add(Thread.startVirtualThread(() -> generateLoad(load, running)));
		}
		for (Thread workspace : workspaces) {
			workspace.join();
		}
		if (!running.tryAcquire(MAX_CONCURRENT_CALLS, 2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
			throw new IllegalStateException("calls still run after twice their time-out of " + TIMEOUT);
		}
		return new Result(capacity, seconds, large, allSmall, eachSmall);
	}

	/**
	 * Returns Jain's fairness index of shares: 1 if all are equal, 1/n if one of n has
	 * everything.
	 */
	static double jainIndex(List<Double> shares) {
		double sum = shares.stream().mapToDouble(Double::doubleValue).sum();
		double squares = shares.stream().mapToDouble((share) -> share * share).sum();
		return (squares > 0) ? sum * sum / (shares.size() * squares) : 1;
	}

	private void generateLoad(OfferedLoad load, Semaphore running) {
		Random random = new Random(this.seed + load.workspace());
		long dueNanos = System.nanoTime();
		long endNanos = load.measureUntilNanos() + TimeUnit.SECONDS.toNanos(RAMP_SECONDS);
		try {
			while (true) {
				dueNanos += (long) (-Math.log(1 - random.nextDouble()) / load.ratePerSecond() * 1e9);
				if (dueNanos >= endNanos) {
					return;
				}
				TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
				startCall(load, dueNanos, running, "workspace " + load.workspace() + " question " + random.nextInt());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void startCall(OfferedLoad load, long dueNanos, Semaphore running, String prompt) {
		boolean measured = dueNanos >= load.measureFromNanos() && dueNanos < load.measureUntilNanos();
		List<PhaseFigures> figures = measured ? load.figures() : List.of();
		if (!running.tryAcquire()) {
			figures.forEach(PhaseFigures::addSkipped);
			return;
		}
		LoadCall call = new LoadCall(Kind.STREAM, this.installation.profile().model().name(),
				workspace(load.workspace()), prompt, TOKENS);
		Thread.startVirtualThread(() -> {
			try {
				LoadResult result = this.client.call(this.callerPort, call, dueNanos);
				figures.forEach((each) -> each.add(result));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				running.release();
			}
		});
	}

	/**
	 * Load that one workspace offers.
	 *
	 * @param workspace number of the workspace
	 * @param ratePerSecond mean rate of its calls, which arrive whether or not earlier
	 * ones have ended
	 * @param measureFromNanos time from which calls are measured
	 * @param measureUntilNanos time until which calls are measured
	 * @param figures receive the results of the measured calls
	 */
	private record OfferedLoad(int workspace, double ratePerSecond, long measureFromNanos, long measureUntilNanos,
			List<PhaseFigures> figures) {
	}

	/**
	 * Results by kind of workspace.
	 *
	 * @param capacityPerSecond answers a second that the engines can give
	 * @param seconds length of the measurement
	 * @param large figures of the large workspace
	 * @param allSmall figures of the small workspaces together
	 * @param eachSmall figures of each small workspace
	 */
	record Result(double capacityPerSecond, int seconds, PhaseFigures large, PhaseFigures allSmall,
			List<PhaseFigures> eachSmall) {

		Map<String, Object> toMap() {
			Map<String, Object> result = new LinkedHashMap<>();
			result.put("capacityPerSecond", this.capacityPerSecond);
			result.put("large", kind(this.large));
			result.put("small", kind(this.allSmall));
			result.put("smallAnsweredOfOffered", shares());
			result.put("smallJainIndex", jainIndex(shares()));
			return result;
		}

		private Map<String, Object> kind(PhaseFigures figures) {
			Map<String, Object> kind = new LinkedHashMap<>(figures.toMap());
			kind.put("offeredPerSecond", offeredPerSecond(figures));
			kind.put("answeredOfOffered", answeredOfOffered(figures));
			kind.put("reasons", figures.reasons());
			return kind;
		}

		private List<Double> shares() {
			return this.eachSmall.stream().map(Result::answeredOfOffered).toList();
		}

		private double offeredPerSecond(PhaseFigures figures) {
			return (double) offered(figures) / this.seconds;
		}

		private static double answeredOfOffered(PhaseFigures figures) {
			return (double) figures.count(Outcome.ANSWERED) / Math.max(1, offered(figures));
		}

		/**
		 * Returns the number of calls that were due, including those that were not made
		 * because too many were running.
		 */
		private static int offered(PhaseFigures figures) {
			return figures.total() + figures.skipped();
		}

		String table() {
			StringBuilder table = new StringBuilder(
					String.format(Locale.ROOT, "capacity %.1f calls/s; Jain's index of the small workspaces %.3f%n",
							this.capacityPerSecond, jainIndex(shares())));
			table.append(String.format("%-10s %10s %9s %8s %8s %5s %8s %12s%n", "workspaces", "offered/s", "answered",
					"refused", "unknown", "lost", "skipped", "p99 first ms"));
			table.append(row("large", this.large)).append(row("small", this.allSmall));
			return table.toString();
		}

		private String row(String name, PhaseFigures figures) {
			return String.format(Locale.ROOT, "%-10s %10.1f %8.2f%% %8d %8d %5d %8d %12.0f%n", name,
					offeredPerSecond(figures), 100 * answeredOfOffered(figures), figures.count(Outcome.REFUSED),
					figures.count(Outcome.UNKNOWN), figures.count(Outcome.LOST), figures.skipped(),
					figures.firstTokenMillis(99));
		}

	}

}
