package org.jaywood.bench;

import java.io.IOException;
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
 * capacity of the other data centres. Measures when the last new call reached an engine
 * there, and the outcomes of the calls meanwhile.
 */
public final class DataCentreExperiment implements Experiment {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final int MODEL_BYTES = 256 * 1024;

	private static final int CHUNK_BYTES = 32 * 1024;

	private static final int TOKEN_MILLIS = 20;

	private static final int TOKENS = 25;

	/**
	 * Highest number of concurrent calls of an engine. Few and slow calls let the engines
	 * reach their capacity before the processors of this machine do.
	 */
	private static final int MAX_CALLS_PER_ENGINE = 8;

	/** Load as a share of the capacity of the remaining data centres. */
	private static final double LOAD_SHARE = 0.85;

	private static final long SERVING_TIMEOUT_MILLIS = 30_000;

	@Override
	public String name() {
		return "datacentre";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		DataCentreFault fault = options.arguments().isEmpty() ? DataCentreFault.NONE
				: DataCentreFault.parse(options.arguments().getFirst());
		InstallationOptions installationOptions = installationOptions(options.profile());
		try (Installation installation = Installation.start(installationOptions)) {
			Result result = measure(installation, options.seconds(), options.seed(), fault);
			Map<String, Object> line = new LinkedHashMap<>();
			line.put("experiment", name());
			line.put("profile", options.profile().name());
			line.put("fault", fault.text());
			line.put("seed", options.seed());
			line.putAll(result.toMap());
			ResultLine.write(line, options.output());
			System.out.print(result.table());
			return (result.lost() == 0) ? 0 : 1;
		}
	}

	/**
	 * Returns the options of an installation for this experiment: one router in each data
	 * centre, since routers prefer upstreams of their own data centre, and engines whose
	 * calls take half a second to a second.
	 */
	public static InstallationOptions installationOptions(Profile profile) {
		return InstallationOptions.of(profile)
			.withRouters(profile.sites().size())
			.withNetwork()
			.withTokenMillis(TOKEN_MILLIS)
			.withFlags("engine", "--max-concurrency", Integer.toString(MAX_CALLS_PER_ENGINE));
	}

	/**
	 * Takes the last data centre out of service and brings it back.
	 * @param installation an installation to which nothing has been applied
	 * @param seconds length of each phase
	 * @param seed seed of the load
	 * @param fault fault while the data centre is out of service
	 */
	public static Result measure(Installation installation, int seconds, long seed, DataCentreFault fault)
			throws IOException, InterruptedException {
		Site site = installation.profile().sites().getLast();
		String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
		Deployment fullDeployment = installation.deployment("1", manifest, limits(installation));
		installation.apply(fullDeployment);
		String digest = Digests.ofSet(List.of(manifest));
		installation.awaitServing(digest, SERVING_TIMEOUT_MILLIS);
		installation.awaitGeneration(1, SERVING_TIMEOUT_MILLIS);
		List<Member> engines = installation.agentsOf(installation.profile().model().name());
		List<Member> removedEngines = engines.stream()
			.filter((agent) -> agent.dataCentre().equals(site.dataCentre()))
			.toList();
		EngineCapacity engineCapacity = new EngineCapacity(installation, digest, MAX_CALLS_PER_ENGINE, TOKENS, seed);
		double capacity = engineCapacity.measureAnswersPerSecond() * (engines.size() - removedEngines.size())
				/ engines.size();
		double rate = LOAD_SHARE * capacity;
		LoadGenerator load = new LoadGenerator(LoadSettings.open(installation, rate, TOKENS, seed))
			.allowWeights(digest);
		double lastNewWorkSeconds;
		double returnSeconds;
		double fullServiceSeconds;
		try (load) {
			load.start("before");
			TimeUnit.SECONDS.sleep(seconds);
			load.beginPhase("out");
			fault.beforeApply(installation);
			installation.apply(withoutSite(fullDeployment, site));
			long removedAtMillis = System.currentTimeMillis();
			fault.afterApply(installation);
			TimeUnit.SECONDS.sleep(seconds);
			lastNewWorkSeconds = (lastArrivalMillis(installation, removedEngines) - removedAtMillis) / 1000.0;
			fault.beforeReturn(installation);
			restartEngines(installation, removedEngines);
			load.beginPhase("after");
			installation.apply(fullDeployment);
			long returnedAtMillis = System.currentTimeMillis();
			Installation.await("every engine of " + site.dataCentre() + " receives work again", SERVING_TIMEOUT_MILLIS,
					() -> firstArrivalMillis(installation, removedEngines) > returnedAtMillis);
			returnSeconds = (System.currentTimeMillis() - returnedAtMillis) / 1000.0;
			Installation.await("every engine of " + site.dataCentre() + " is in full service", SERVING_TIMEOUT_MILLIS,
					() -> engineCapacity.acceptFullLoad(removedEngines));
			fullServiceSeconds = (System.currentTimeMillis() - returnedAtMillis) / 1000.0;
			TimeUnit.SECONDS.sleep(seconds);
		}
		return new Result(capacity, rate, lastNewWorkSeconds, returnSeconds, fullServiceSeconds, load.phases());
	}

	/**
	 * Restarts the engines of a data centre that is out of service, so that they are cold
	 * when it returns.
	 */
	private static void restartEngines(Installation installation, List<Member> agents)
			throws IOException, InterruptedException {
		for (Member agent : agents) {
			installation.fleet().kill(Installation.upstreamProcessName(agent));
			installation.startUpstreamProcess(agent);
		}
		for (Member agent : agents) {
			Installation.await("engine of " + agent.vm() + " answers", SERVING_TIMEOUT_MILLIS,
					() -> installation.client()
						.get(agent.upstream().uri("/status"), REQUEST_TIMEOUT)
						.statusCode() == 200);
		}
	}

	private static ServiceLimits limits(Installation installation) {
		return new ServiceLimits(Math.max(1, installation.profile().model().upstreams() / 3),
				ServiceLimits.DEFAULT.deadlineMillis(), ServiceLimits.DEFAULT.bodyBytes());
	}

	private static Deployment withoutSite(Deployment fullDeployment, Site site) {
		Map<String, DataCentre> dataCentres = new LinkedHashMap<>(fullDeployment.dataCentres());
		dataCentres.put(site.dataCentre(), new DataCentre(site.region(), false));
		return new Deployment(dataCentres, fullDeployment.services(), fullDeployment.workspaces());
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
	 * Returns the earliest of the engines' last arrivals, in epoch milliseconds.
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
		return Json.tree(installation.client().get(agent.upstream().uri("/record"), REQUEST_TIMEOUT).body())
			.path("lastArrivalMillis")
			.asLong();
	}

	/**
	 * Measured values.
	 *
	 * @param restCapacityPerSecond answers a second that the remaining data centres can
	 * give, in proportion from a measurement of all
	 * @param ratePerSecond load in calls a second
	 * @param lastNewWorkSeconds time from the apply to the last call that reached an
	 * engine of the data centre taken out; negative if none arrived after the apply
	 * @param returnSeconds time from the second apply until each of its engines received
	 * a call again
	 * @param fullServiceSeconds time from the second apply until each of its engines,
	 * which return cold, is warm and accepts its full load
	 * @param phases figures before, while the data centre is out, and after its return
	 */
	public record Result(double restCapacityPerSecond, double ratePerSecond, double lastNewWorkSeconds,
			double returnSeconds, double fullServiceSeconds, Map<String, PhaseFigures> phases) {

		/**
		 * Returns the number of calls of all phases that got neither a complete and
		 * correct answer nor a stated outcome.
		 */
		public int lost() {
			return this.phases.values()
				.stream()
				.mapToInt((figures) -> figures.count(Outcome.LOST) + figures.count(Outcome.WRONG))
				.sum();
		}

		Map<String, Object> toMap() {
			Map<String, Object> map = new LinkedHashMap<>();
			map.put("restCapacityPerSecond", this.restCapacityPerSecond);
			map.put("ratePerSecond", this.ratePerSecond);
			map.put("lastNewWorkSeconds", this.lastNewWorkSeconds);
			map.put("returnSeconds", this.returnSeconds);
			map.put("fullServiceSeconds", this.fullServiceSeconds);
			map.put("lostRequests", lost());
			this.phases.forEach((name, figures) -> {
				Map<String, Object> phase = new LinkedHashMap<>(figures.toMap());
				phase.put("reasons", figures.reasons());
				map.put(name, phase);
			});
			return map;
		}

		String table() {
			StringBuilder table = new StringBuilder(String.format(Locale.ROOT,
					"last new work %.2f s after the apply, work everywhere %.2f s and full service %.2f s after the return%n",
					this.lastNewWorkSeconds, this.returnSeconds, this.fullServiceSeconds));
			table.append(String.format(Locale.ROOT, "%.0f calls/s, capacity of the rest %.0f calls/s%n",
					this.ratePerSecond, this.restCapacityPerSecond));
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
