package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.config.ServiceLimits;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * Starts a complete installation on this machine, applies a deployment, and then rolls
 * out a second model version while requests are answered through both routers.
 */
public final class Demo implements Experiment {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final double REQUESTS_PER_SECOND = 20;

	private static final int TOKENS = 8;

	private static final int MODEL_BYTES = 4 * 1024 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	/**
	 * As in the requirements: a machine transfers two copies in the time in which the
	 * origin sends four.
	 */
	private static final long MACHINE_BYTES_PER_SECOND = MODEL_BYTES / 2;

	private static final long ORIGIN_BYTES_PER_SECOND = MODEL_BYTES;

	/** Duration of the load before and after the rollout. */
	private static final long STEADY_LOAD_MILLIS = 2_000;

	private static final long SERVING_TIMEOUT_MILLIS = 25_000;

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		Profile profile = options.profile();
		InstallationOptions installationOptions = InstallationOptions.of(profile)
			.withLinkRates(MACHINE_BYTES_PER_SECOND, ORIGIN_BYTES_PER_SECOND);
		long startNanos = System.nanoTime();
		try (Installation installation = Installation.start(installationOptions)) {
			print("started %d routers, %d upstreams with agents, platform, store and network in %.1f s",
					installation.routers().size(), installation.agents().size(), secondsSince(startNanos));
			return run(installation, options.seed()) ? 0 : 1;
		}
	}

	private static boolean run(Installation installation, long seed) throws IOException, InterruptedException {
		int replicas = installation.profile().model().upstreams();
		String first = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
		String second = installation.addWeights("2", MODEL_BYTES, CHUNK_BYTES);
		rollOut(installation, "1", first);
		double copiesBefore = originCopies(installation);
		LoadGenerator load = new LoadGenerator(LoadSettings.open(installation, REQUESTS_PER_SECOND, TOKENS, seed))
			.allowWeights(digest(first))
			.allowWeights(digest(second));
		double seconds;
		try (load) {
			load.start("before");
			TimeUnit.MILLISECONDS.sleep(STEADY_LOAD_MILLIS);
			load.beginPhase("burst");
			seconds = rollOut(installation, "2", second);
			load.beginPhase("after");
			TimeUnit.MILLISECONDS.sleep(STEADY_LOAD_MILLIS);
		}
		print("replicas %d", replicas);
		print("time to %d replicas %.2f s", replicas, seconds);
		print("origin copies %.2f", originCopies(installation) - copiesBefore);
		return report(load);
	}

	private static boolean report(LoadGenerator load) {
		load.phases()
			.forEach((name, figures) -> print("phase %s: %d requests, p99 first token %.0f ms%s", name, figures.total(),
					figures.firstTokenMillis(99),
					figures.reasons().isEmpty() ? "" : ", not answered: " + figures.reasons()));
		print("requests answered %d refused %d unknown %d lost %d wrong %d", load.count(Outcome.ANSWERED),
				load.count(Outcome.REFUSED), load.count(Outcome.UNKNOWN), load.count(Outcome.LOST),
				load.count(Outcome.WRONG));
		return load.count(Outcome.ANSWERED) > 0 && load.count(Outcome.LOST) == 0 && load.count(Outcome.WRONG) == 0;
	}

	/**
	 * Applies a version and waits until every engine serves it. Fails if one does not in
	 * time.
	 */
	private static double rollOut(Installation installation, String version, String manifest)
			throws IOException, InterruptedException {
		int surge = Math.max(1, installation.profile().model().upstreams() / 3);
		long startNanos = System.nanoTime();
		installation.apply(installation.deployment(version, manifest,
				new ServiceLimits(surge, ServiceLimits.DEFAULT.deadlineMillis(), ServiceLimits.DEFAULT.bodyBytes())));
		installation.awaitServing(digest(manifest), SERVING_TIMEOUT_MILLIS);
		double seconds = secondsSince(startNanos);
		installation.awaitGeneration(Long.parseLong(version), SERVING_TIMEOUT_MILLIS);
		print("version %s is in force everywhere and served by every engine after %.2f s", version, seconds);
		return seconds;
	}

	private static double originCopies(Installation installation) throws IOException, InterruptedException {
		return Json.tree(installation.client().get(installation.store().uri("/record"), REQUEST_TIMEOUT).body())
			.path("sentBytes")
			.asDouble() / MODEL_BYTES;
	}

	private static String digest(String manifest) {
		return Digests.ofSet(List.of(manifest));
	}

	private static double secondsSince(long startNanos) {
		return (System.nanoTime() - startNanos) / 1e9;
	}

	private static void print(String format, Object... values) {
		System.out.println(String.format(Locale.ROOT, format, values));
	}

}
