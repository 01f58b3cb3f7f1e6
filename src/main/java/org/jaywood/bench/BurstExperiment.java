package org.jaywood.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.bench.BurstScenario.Fault;
import org.jaywood.bench.Installation.Member;
import org.jaywood.bench.Profile.ServiceShape;
import org.jaywood.bench.Profile.Site;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceLimits;
import org.jaywood.weights.WeightMode;
import org.jaywood.wire.Json;

/**
 * Measures how long one model takes to reach N agents, each in its own process and
 * connected by links of limited rate. The engines run in this process. Arguments: a mode
 * and a fault, see {@link BurstScenario}.
 */
public final class BurstExperiment implements Experiment {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final int MODEL_BYTES = 4 * 1024 * 1024;

	/** 128 chunks. */
	private static final int CHUNK_BYTES = 32 * 1024;

	/**
	 * Rate of a machine's link for up to {@link #MAX_FULL_RATE_REPLICAS} agents. At this
	 * rate, a machine can transfer two copies of the model in 16 s and the origin four.
	 */
	private static final long MACHINE_BYTES_PER_SECOND = 524_288;

	/**
	 * Above this number of agents, the rate of each link decreases in proportion, since
	 * all agents share the processors of one machine: at full rate, 40 agents were
	 * limited by the processors and not by their links.
	 */
	private static final int MAX_FULL_RATE_REPLICAS = 10;

	/** Number of blocks of the network stand-in in one chunk. */
	private static final int BLOCKS_PER_CHUNK = 4;

	/** Time-out of a burst as a multiple of the lower bound of its duration. */
	private static final double MAX_LOWER_BOUNDS = 6;

	private static final double SERVING_TIMEOUT_SECONDS = 10;

	private static final long SERVING_POLL_MILLIS = 100;

	/**
	 * Interval at which the state dump of each agent is read, as a multiple of the lower
	 * bound.
	 */
	private static final double POLL_INTERVAL_LOWER_BOUNDS = 1 / 160.0;

	@Override
	public String name() {
		return "burst";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		BurstScenario scenario = BurstScenario.parse(options.arguments());
		ServiceShape model = options.profile().model();
		int replicas = (options.replicas() > 0) ? options.replicas() : model.upstreams();
		Profile profile = options.profile().withOnly(new ServiceShape(model.name(), true, replicas));
		InstallationOptions installationOptions = InstallationOptions.of(profile)
			.withRouters(0)
			.withEnginesInProcess()
			.withLinkRates(machineBytesPerSecond(replicas), originBytesPerSecond(replicas))
			.withFlags("agent", "--weight-mode", scenario.mode().name());
		try (Installation installation = Installation.start(installationOptions)) {
			return measure(options, scenario, installation);
		}
	}

	private static long machineBytesPerSecond(int replicas) {
		return MACHINE_BYTES_PER_SECOND * MAX_FULL_RATE_REPLICAS / Math.max(MAX_FULL_RATE_REPLICAS, replicas);
	}

	private static long originBytesPerSecond(int replicas) {
		return 2 * machineBytesPerSecond(replicas);
	}

	private int measure(ExperimentOptions options, BurstScenario scenario, Installation installation)
			throws IOException, InterruptedException {
		List<Member> agents = new ArrayList<>(installation.agents());
		awaitMembership(installation, agents);
		String manifest = installation.addWeights("1", MODEL_BYTES, CHUNK_BYTES);
		Deployment deployment = installation.deployment("1", manifest, new ServiceLimits(agents.size(),
				ServiceLimits.DEFAULT.deadlineMillis(), ServiceLimits.DEFAULT.bodyBytes()));
		Collections.shuffle(agents, new Random(options.seed()));
		Map<String, Long> regionBytesBefore = regionBytes(installation);
		double[] cpuBefore = cpuSeconds(installation);
		injectNetworkFault(scenario.fault(), installation, agents);
		int replicas = agents.size();
		double lowerBoundSeconds = lowerBoundSeconds(scenario, options.profile(), replicas);
		long startNanos = System.nanoTime();
		installation.apply(deployment);
		Map<Double, Map<String, Double>> progress = new LinkedHashMap<>();
		List<Double> verifiedSeconds = awaitVerified(scenario.fault(), installation, agents, startNanos,
				lowerBoundSeconds, progress);
		double elapsedSeconds = secondsSince(startNanos);
		double[] cpuAfter = cpuSeconds(installation);
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("experiment", name());
		result.put("mode", scenario.mode().name().toLowerCase(Locale.ROOT));
		result.put("fault", scenario.fault().name().toLowerCase(Locale.ROOT));
		result.put("seed", options.seed());
		result.put("replicas", replicas);
		result.put("machineBytesPerSecond", machineBytesPerSecond(replicas));
		putTimes(result, verifiedSeconds, agents.size(), lowerBoundSeconds);
		result.put("progress", progress);
		putTraffic(result, installation, agents, regionBytesBefore);
		result.put("agentCores", (cpuAfter[0] - cpuBefore[0]) / elapsedSeconds);
		result.put("networkCores", (cpuAfter[1] - cpuBefore[1]) / elapsedSeconds);
		result.put("servingSeconds", awaitServing(installation, agents, deployment, startNanos));
		report(options, result);
		return (verifiedSeconds.size() == agents.size()) ? 0 : 1;
	}

	/**
	 * Waits until all agents know each other. Before that, agents would compute their
	 * trees from an incomplete list of peers.
	 */
	private static void awaitMembership(Installation installation, List<Member> agents) throws InterruptedException {
		Installation.await("all agents know each other", 20_000, () -> {
			for (Member agent : agents) {
				if (installation.state(agent).path("peer").path("peers").asInt() < agents.size() - 1) {
					return false;
				}
			}
			return true;
		});
	}

	private static void injectNetworkFault(Fault fault, Installation installation, List<Member> agents)
			throws IOException, InterruptedException {
		if (fault == Fault.STALL1) {
			installation.network().addFault("FREEZE", Map.of("source", "*", "destination", agents.getFirst().vm()));
		}
		if (fault == Fault.CORRUPT1) {
			List<String> destinations = new ArrayList<>(List.of("store"));
			installation.profile().sites().stream().map(Site::dataCentre).forEach(destinations::add);
			for (String destination : destinations) {
				installation.network()
					.addFault("CORRUPT", Map.of("source", "*", "destination", destination, "direction", "REPLY",
							"probability", 0.01 / BLOCKS_PER_CHUNK));
			}
		}
	}

	/**
	 * Waits until every agent that is not killed has verified all chunks or the time-out
	 * has passed. Removes killed agents from {@code agents}.
	 * @param progress receives the mean share of verified chunks in each data centre by
	 * time in seconds, about ten times per lower bound
	 * @return times at which agents had verified all chunks, in seconds from the start
	 */
	private static List<Double> awaitVerified(Fault fault, Installation installation, List<Member> agents,
			long startNanos, double lowerBoundSeconds, Map<Double, Map<String, Double>> progress)
			throws IOException, InterruptedException {
		List<Double> verifiedSeconds = new ArrayList<>();
		List<Member> pendingAgents = new ArrayList<>(agents);
		Map<Member, Double> verifiedShares = new HashMap<>();
		double nextProgress = 0;
		boolean killFaultDone = fault != Fault.KILL5;
		while (!pendingAgents.isEmpty() && secondsSince(startNanos) < MAX_LOWER_BOUNDS * lowerBoundSeconds) {
			if (!killFaultDone && secondsSince(startNanos) > lowerBoundSeconds / 4) {
				killFaultDone = true;
				for (Member agent : agents.subList(0, (agents.size() + 19) / 20).toArray(Member[]::new)) {
					installation.fleet().kill(agent.vm());
					agents.remove(agent);
					pendingAgents.remove(agent);
				}
			}
			for (Member agent : List.copyOf(pendingAgents)) {
				JsonNode state = installation.state(agent);
				int expectedChunks = state.path("chunksWanted").asInt();
				int verifiedChunks = state.path("chunksVerified").asInt();
				verifiedShares.put(agent, (expectedChunks > 0) ? verifiedChunks / (double) expectedChunks : 0);
				if (expectedChunks > 0 && verifiedChunks == expectedChunks) {
					pendingAgents.remove(agent);
					verifiedSeconds.add(secondsSince(startNanos));
				}
			}
			if (secondsSince(startNanos) >= nextProgress) {
				nextProgress = secondsSince(startNanos) + lowerBoundSeconds / 10;
				progress.put(secondsSince(startNanos),
						verifiedShares.entrySet()
							.stream()
							.collect(Collectors.groupingBy((share) -> share.getKey().dataCentre(), TreeMap::new,
									Collectors.averagingDouble(Map.Entry::getValue))));
			}
			TimeUnit.MILLISECONDS.sleep((long) (1_000 * POLL_INTERVAL_LOWER_BOUNDS * lowerBoundSeconds));
		}
		return verifiedSeconds;
	}

	private static @Nullable Double awaitServing(Installation installation, List<Member> agents, Deployment deployment,
			long startNanos) throws IOException, InterruptedException {
		String targetDigest = deployment.services().values().iterator().next().weightsDigest();
		double deadlineSeconds = secondsSince(startNanos) + SERVING_TIMEOUT_SECONDS;
		List<Member> pendingAgents = new ArrayList<>(agents);
		while (secondsSince(startNanos) < deadlineSeconds) {
			for (Member agent : List.copyOf(pendingAgents)) {
				if (installation.state(agent).path("servedWeights").asText().equals(targetDigest)) {
					pendingAgents.remove(agent);
				}
			}
			if (pendingAgents.isEmpty()) {
				return secondsSince(startNanos);
			}
			TimeUnit.MILLISECONDS.sleep(SERVING_POLL_MILLIS);
		}
		return null;
	}

	/**
	 * Returns the shortest possible time in seconds. Each machine receives one copy, the
	 * origin sends at least one copy (in mode store one for each machine), and each of
	 * the other regions receives one copy over at most as many links as there are other
	 * regions.
	 */
	private static double lowerBoundSeconds(BurstScenario scenario, Profile profile, int replicas) {
		int originCopies = (scenario.mode() == WeightMode.STORE) ? replicas : 1;
		long regions = profile.sites().stream().map(Site::region).distinct().count();
		double origin = originCopies * (double) MODEL_BYTES / originBytesPerSecond(replicas);
		double machine = MODEL_BYTES / (double) machineBytesPerSecond(replicas);
		double region = MODEL_BYTES / ((regions - 1.0) * profile.links().regionBytesPerSecond());
		return Math.max(origin, Math.max(machine, region));
	}

	private static void putTimes(Map<String, Object> result, List<Double> verifiedSeconds, int expectedAgents,
			double lowerBoundSeconds) {
		boolean complete = verifiedSeconds.size() == expectedAgents;
		result.put("verifiedReplicas", verifiedSeconds.size());
		result.put("medianVerifiedSeconds",
				(verifiedSeconds.size() * 2 > expectedAgents) ? verifiedSeconds.get(expectedAgents / 2) : null);
		result.put("verifiedSeconds", complete ? verifiedSeconds.getLast() : null);
		result.put("lowerBoundSeconds", lowerBoundSeconds);
		result.put("ratio", complete ? verifiedSeconds.getLast() / lowerBoundSeconds : null);
	}

	private static void putTraffic(Map<String, Object> result, Installation installation, List<Member> agents,
			Map<String, Long> regionBytesBefore) throws IOException, InterruptedException {
		JsonNode store = Json
			.tree(installation.client().get(installation.store().uri("/record"), REQUEST_TIMEOUT).body());
		long originBytes = store.path("sentBytes").asLong();
		Map<String, Long> regionBytes = regionBytes(installation);
		regionBytes.replaceAll((pair, bytes) -> bytes - regionBytesBefore.getOrDefault(pair, 0L));
		Map<String, Long> bySource = new TreeMap<>();
		for (Member agent : agents) {
			installation.state(agent)
				.path("fetchedBytes")
				.properties()
				.forEach((entry) -> bySource.merge(entry.getKey(), entry.getValue().asLong(), Long::sum));
		}
		result.put("originCopies", originBytes / (double) MODEL_BYTES);
		result.put("originBytes", originBytes);
		result.put("regionBytes", regionBytes);
		result.put("fetchedBytesBySource", bySource);
	}

	private static Map<String, Long> regionBytes(Installation installation) throws IOException, InterruptedException {
		Map<String, Long> bytes = new TreeMap<>();
		installation.network()
			.record()
			.path("traffic")
			.path("regionBytes")
			.properties()
			.forEach((entry) -> bytes.put(entry.getKey(), entry.getValue().asLong()));
		return bytes;
	}

	/**
	 * Returns the processor time, in seconds, of all running agents and of the network
	 * stand-in.
	 */
	private static double[] cpuSeconds(Installation installation) throws IOException {
		double agents = 0;
		for (Member agent : installation.agents()) {
			Process process = installation.fleet().process(agent.vm());
			agents += (process != null && process.isAlive()) ? ProcessUsage.of(process).cpuSeconds() : 0;
		}
		Process network = installation.fleet().process("network");
		return new double[] { agents, (network != null) ? ProcessUsage.of(network).cpuSeconds() : 0 };
	}

	private static void report(ExperimentOptions options, Map<String, Object> result) throws IOException {
		ResultLine.write(result, options.output());
		List.of("mode", "fault", "replicas", "verifiedReplicas", "medianVerifiedSeconds", "verifiedSeconds",
				"servingSeconds", "lowerBoundSeconds", "ratio", "originCopies", "agentCores", "networkCores")
			.forEach((field) -> System.out.printf("%-22s %s%n", field, result.get(field)));
	}

	private static double secondsSince(long startNanos) {
		return (System.nanoTime() - startNanos) / 1e9;
	}

}
