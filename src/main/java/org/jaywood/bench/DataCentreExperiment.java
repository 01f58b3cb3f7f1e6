package org.jaywood.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.LoadResult.Outcome;
import org.jaywood.bench.Profile.Site;
import org.jaywood.config.DataCentre;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceLimits;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * Takes a data centre out of service and brings it back under a steady load near the
 * capacity of the rest. Measures when the last new work reached an engine there and what
 * callers got meanwhile.
 */
public final class DataCentreExperiment implements Experiment {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int MODEL_BYTES = 256 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	private static final int TOKEN_MILLIS = 20;

	private static final int TOKENS = 25;

	/**
	 * Calls that an engine is taken to hold when its own limit is higher. More would load
	 * this machine instead of the installation.
	 */
	private static final int MOST_CALLS = 8;

	/** Share of the capacity of the remaining data centres that the load takes. */
	private static final double LOAD_SHARE = 0.8;

	private static final long SERVING_MILLIS = 30_000;

	@Override
	public String name() {
		return "datacentre";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		InstallationOptions installationOptions = installationOptions(options.profile());
		try (Installation installation = Installation.start(installationOptions)) {
			Result result = measure(installation, options.seconds(), options.seed());
			Map<String, Object> line = new LinkedHashMap<>();
			line.put("experiment", name());
			line.put("profile", options.profile().name());
			line.put("seed", options.seed());
			line.putAll(result.toMap());
			String json = Json.text(line);
			System.out.println(json);
			System.out.print(result.table());
			if (options.output() != null) {
				Files.writeString(options.output(), json + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
			}
			return (result.lost() == 0) ? 0 : 1;
		}
	}

	/**
	 * Options of an installation for this experiment: one router in each of the first two
	 * data centres and engines whose calls take half a second.
	 */
	public static InstallationOptions installationOptions(Profile profile) {
		return InstallationOptions.of(profile).withNetwork().withTokenMillis(TOKEN_MILLIS);
	}

	/**
	 * Takes the last data centre out and back.
	 * @param installation an installation to which nothing has been applied
	 * @param seconds length of each phase
	 * @param seed seed of the load
	 */
	public static Result measure(Installation installation, int seconds, long seed)
			throws IOException, InterruptedException {
		Site site = installation.profile().sites().getLast();
		String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
		Deployment all = installation.deployment("1", manifest, limits(installation));
		installation.apply(all);
		installation.awaitServing(Digests.ofSet(List.of(manifest)), SERVING_MILLIS);
		installation.awaitGeneration(1, SERVING_MILLIS);
		List<Member> engines = installation.agentsOf(installation.profile().model().name());
		List<Member> leaving = engines.stream()
			.filter((agent) -> agent.dataCentre().equals(site.dataCentre()))
			.toList();
		double rate = rate(installation, engines.size() - leaving.size());
		LoadGenerator load = new LoadGenerator(LoadSettings.open(installation, rate, TOKENS, seed))
			.allowWeights(Digests.ofSet(List.of(manifest)));
		double lastNewWorkSeconds;
		double returnSeconds;
		try (load) {
			load.start("before");
			TimeUnit.SECONDS.sleep(seconds);
			load.phase("during");
			installation.apply(without(all, site));
			long outMillis = System.currentTimeMillis();
			TimeUnit.SECONDS.sleep(seconds);
			lastNewWorkSeconds = Math.max(0, (lastArrivalMillis(installation, leaving) - outMillis) / 1000.0);
			load.phase("after");
			installation.apply(all);
			long backMillis = System.currentTimeMillis();
			Installation.await("every engine of " + site.dataCentre() + " receives work again", SERVING_MILLIS,
					() -> firstArrivalMillis(installation, leaving) > backMillis);
			returnSeconds = (System.currentTimeMillis() - backMillis) / 1000.0;
			TimeUnit.SECONDS.sleep(seconds);
		}
		return new Result(rate, lastNewWorkSeconds, returnSeconds, load.phases());
	}

	private static ServiceLimits limits(Installation installation) {
		return new ServiceLimits(Math.max(1, installation.profile().model().upstreams() / 3),
				ServiceLimits.DEFAULT.deadlineMillis(), ServiceLimits.DEFAULT.bodyBytes());
	}

	private static double rate(Installation installation, int engines) throws IOException, InterruptedException {
		Member any = installation.agentsOf(installation.profile().model().name()).getFirst();
		int limit = Json.tree(installation.client().get(any.upstream().uri("/status"), TIMEOUT).body())
			.path("maxConcurrency")
			.asInt();
		return LOAD_SHARE * engines * Math.min(MOST_CALLS, limit) * 1000 / (TOKEN_MILLIS * TOKENS);
	}

	private static Deployment without(Deployment all, Site site) {
		Map<String, DataCentre> dataCentres = new LinkedHashMap<>(all.dataCentres());
		dataCentres.put(site.dataCentre(), new DataCentre(site.region(), false));
		return new Deployment(dataCentres, all.services(), all.workspaces());
	}

	private static long lastArrivalMillis(Installation installation, List<Member> agents)
			throws IOException, InterruptedException {
		long last = 0;
		for (Member agent : agents) {
			last = Math.max(last, arrivalMillis(installation, agent));
		}
		return last;
	}

	/**
	 * The earliest of the last arrivals at the engines.
	 */
	private static long firstArrivalMillis(Installation installation, List<Member> agents)
			throws IOException, InterruptedException {
		long first = Long.MAX_VALUE;
		for (Member agent : agents) {
			first = Math.min(first, arrivalMillis(installation, agent));
		}
		return first;
	}

	private static long arrivalMillis(Installation installation, Member agent)
			throws IOException, InterruptedException {
		return Json.tree(installation.client().get(agent.upstream().uri("/record"), TIMEOUT).body())
			.path("lastArrivalMillis")
			.asLong();
	}

	/**
	 * What was measured.
	 *
	 * @param ratePerSecond calls a second
	 * @param lastNewWorkSeconds time from the apply to the last call that reached an
	 * engine of the data centre taken out
	 * @param returnSeconds time from the second apply until each of its engines had work
	 * again
	 * @param phases figures before, during and after
	 */
	public record Result(double ratePerSecond, double lastNewWorkSeconds, double returnSeconds,
			Map<String, PhaseFigures> phases) {

		/**
		 * Calls in all phases to which no whole and right answer came and no statement.
		 */
		public int lost() {
			return this.phases.values()
				.stream()
				.mapToInt((figures) -> figures.count(Outcome.LOST) + figures.count(Outcome.WRONG))
				.sum();
		}

		Map<String, Object> toMap() {
			Map<String, Object> map = new LinkedHashMap<>();
			map.put("ratePerSecond", this.ratePerSecond);
			map.put("lastNewWorkSeconds", this.lastNewWorkSeconds);
			map.put("returnSeconds", this.returnSeconds);
			map.put("lostRequests", lost());
			this.phases.forEach((name, figures) -> map.put(name, figures.toMap()));
			return map;
		}

		String table() {
			StringBuilder table = new StringBuilder(String.format(Locale.ROOT,
					"last new work %.2f s after the apply, full service %.2f s after the return, %.0f calls/s%n",
					this.lastNewWorkSeconds, this.returnSeconds, this.ratePerSecond));
			table.append(String.format(Locale.ROOT, "%-8s %6s %9s %8s %8s %5s %6s %12s%n", "phase", "calls", "answered",
					"refused", "unknown", "lost", "wrong", "p99 first ms"));
			this.phases.forEach((name,
					figures) -> table.append(String.format(Locale.ROOT, "%-8s %6d %8.2f%% %8d %8d %5d %6d %12.0f%n",
							name, figures.total(), 100 * figures.answeredShare(), figures.count(Outcome.REFUSED),
							figures.count(Outcome.UNKNOWN), figures.count(Outcome.LOST), figures.count(Outcome.WRONG),
							figures.firstTokenMillis(99))));
			return table.toString();
		}

	}

}
