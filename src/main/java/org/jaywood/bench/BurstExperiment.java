package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.bench.Profile.Site;
import org.jaywood.config.ConfigurationRepository;
import org.jaywood.config.DataCentre;
import org.jaywood.config.Deployment;
import org.jaywood.config.ServiceKind;
import org.jaywood.config.ServiceLimits;
import org.jaywood.config.ServiceSpec;
import org.jaywood.config.WeightsRef;
import org.jaywood.event.EventLog;
import org.jaywood.platform.HttpPlatform;
import org.jaywood.standin.EngineOptions;
import org.jaywood.standin.EngineStandin;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Measures how long one model takes to reach N agents, each its own process. The engines
 * run in this process. The links of the origin and between regions are limited by the
 * store stand-in and the agents; links of machines are not.
 */
public final class BurstExperiment implements Experiment {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final long MODEL_BYTES = 8 * 1024 * 1024;

	/** 256 chunks. */
	private static final int CHUNK_BYTES = 32 * 1024;

	private static final long ORIGIN_BYTES_PER_SECOND = 1_000_000;

	private static final long REGION_BYTES_PER_SECOND = 1_750_000;

	private static final long LIMIT_MILLIS = 180_000;

	private final WireClient client = WireClient.plain(null);

	@Override
	public String name() {
		return "burst";
	}

	@Override
	public int run(ExperimentOptions options) throws IOException, InterruptedException {
		int replicas = (options.replicas() > 0) ? options.replicas() : 24;
		List<EngineStandin> engines = new ArrayList<>();
		try (ProcessFleet fleet = new ProcessFleet()) {
			Address platform = fleet.address(0, 0, 1, 7000);
			Address store = fleet.address(0, 0, 1, 7001);
			fleet.start("platform", "standin", "platform", "--listen", platform.toString());
			fleet.start("store", "standin", "store", "--listen", store.toString());
			await("platform", () -> this.client.get(platform.uri("/vms"), TIMEOUT).statusCode() == 200);
			await("store", () -> this.client.get(store.uri("/record"), TIMEOUT).statusCode() == 200);
			List<Address> operators = new ArrayList<>();
			for (int i = 0; i < replicas; i++) {
				operators.add(startAgent(fleet, options.profile(), i, engines));
			}
			for (Address operator : operators) {
				await("agent", () -> state(operator).path("inFlight").isNumber());
			}
			for (int i = 0; i < replicas; i++) {
				register(fleet, options.profile(), i);
			}
			return measure(options, platform, store, operators);
		}
		finally {
			engines.forEach(EngineStandin::close);
		}
	}

	private Address startAgent(ProcessFleet fleet, Profile profile, int index, List<EngineStandin> engines)
			throws IOException {
		Site site = site(profile, index);
		Address peer = peer(fleet, profile, index);
		Address operator = new Address(peer.host(), 7101);
		engines.add(new EngineStandin(new Address(peer.host(), 7200), EngineOptions.DEFAULT, new EventLog("engine")));
		fleet.start("agent-" + index, "agent", "--vm", "vm-" + index, "--region", site.region(), "--data-centre",
				site.dataCentre(), "--listen", peer.toString(), "--operator", operator.toString(), "--platform",
				fleet.address(0, 0, 1, 7000).toString(), "--service", "pool", "--upstream", peer.host() + ":7200",
				"--store", fleet.address(0, 0, 1, 7001).toString(), "--store-region",
				profile.sites().getFirst().region(), "--region-link-bytes-per-second",
				Long.toString(REGION_BYTES_PER_SECOND));
		return operator;
	}

	private void register(ProcessFleet fleet, Profile profile, int index) throws IOException, InterruptedException {
		Site site = site(profile, index);
		byte[] entry = Json
			.bytes(Map.of("vm", "vm-" + index, "role", "agent", "service", "pool", "region", site.region(),
					"dataCentre", site.dataCentre(), "address", peer(fleet, profile, index), "state", "LIVE"));
		this.client.send(this.client.request(fleet.address(0, 0, 1, 7000).uri("/vms/vm-" + index), TIMEOUT)
			.PUT(BodyPublishers.ofByteArray(entry))
			.build());
	}

	private static Site site(Profile profile, int index) {
		return profile.sites().get(index % profile.sites().size());
	}

	private static Address peer(ProcessFleet fleet, Profile profile, int index) {
		int sites = profile.sites().size();
		return fleet.address(1 + index % sites, 1, 1 + index / sites, 7100);
	}

	private int measure(ExperimentOptions options, Address platform, Address store, List<Address> operators)
			throws IOException, InterruptedException {
		String manifest = Json.tree(
				this.client
					.post(store.uri("/control/weights"),
							Map.of("name", "model", "version", "1", "totalBytes", MODEL_BYTES, "chunkBytes",
									CHUNK_BYTES),
							TIMEOUT)
					.body())
			.path("manifest")
			.asText();
		this.client.post(store.uri("/control"), Map.of("bytesPerSecond", ORIGIN_BYTES_PER_SECOND), TIMEOUT);
		Deployment deployment = deployment(options.profile(), manifest);
		long startNanos = System.nanoTime();
		new ConfigurationRepository(new HttpPlatform(this.client, platform)).apply(deployment, "bench",
				System.currentTimeMillis());
		await("all verified", () -> all(operators, (state) -> state.path("chunksWanted").asInt() > 0
				&& state.path("chunksVerified").asInt() == state.path("chunksWanted").asInt()));
		double verifiedSeconds = seconds(startNanos);
		String wanted = deployment.service("pool").orElseThrow().weightsDigest();
		await("all serve", () -> all(operators, (state) -> state.path("servedWeights").asText().equals(wanted)));
		report(options, operators, verifiedSeconds, seconds(startNanos),
				Json.tree(this.client.get(store.uri("/record"), TIMEOUT).body()).path("sentBytes").asLong());
		return 0;
	}

	private static Deployment deployment(Profile profile, String manifest) {
		Map<String, DataCentre> dataCentres = profile.sites()
			.stream()
			.collect(Collectors.toMap(Site::dataCentre, (site) -> new DataCentre(site.region(), true)));
		ServiceSpec pool = new ServiceSpec(ServiceKind.MODEL, List.of(new WeightsRef("model", "1", manifest)),
				profile.sites().stream().map(Site::dataCentre).toList(), ServiceLimits.DEFAULT);
		return new Deployment(dataCentres, Map.of("pool", pool), Map.of());
	}

	private void report(ExperimentOptions options, List<Address> operators, double verifiedSeconds,
			double servingSeconds, long originBytes) throws IOException, InterruptedException {
		Map<String, Long> bySource = new TreeMap<>();
		for (Address operator : operators) {
			state(operator).path("fetchedBytes")
				.properties()
				.forEach((entry) -> bySource.merge(entry.getKey(), entry.getValue().asLong(), Long::sum));
		}
		// Each of the other regions needs a copy, over at most two links.
		double lowerBoundSeconds = Math.max(MODEL_BYTES / (double) ORIGIN_BYTES_PER_SECOND,
				MODEL_BYTES / (2.0 * REGION_BYTES_PER_SECOND));
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("experiment", name());
		result.put("replicas", operators.size());
		result.put("verifiedSeconds", verifiedSeconds);
		result.put("servingSeconds", servingSeconds);
		result.put("lowerBoundSeconds", lowerBoundSeconds);
		result.put("originCopies", originBytes / (double) MODEL_BYTES);
		result.put("originBytes", originBytes);
		result.put("bytesBySource", bySource);
		String line = Json.text(result);
		System.out.println(line);
		System.out.printf("%-10s %10s %10s %10s %14s%n", "replicas", "verified s", "serving s", "bound s",
				"origin copies");
		System.out.printf("%-10d %10.2f %10.2f %10.2f %14.3f%n", operators.size(), verifiedSeconds, servingSeconds,
				lowerBoundSeconds, originBytes / (double) MODEL_BYTES);
		bySource.forEach((source, bytes) -> System.out.printf("%-20s %,15d bytes%n", source, bytes));
		if (options.output() != null) {
			Files.writeString(options.output(), line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		}
	}

	private boolean all(List<Address> operators, Predicate<JsonNode> condition)
			throws IOException, InterruptedException {
		for (Address operator : operators) {
			if (!condition.test(state(operator))) {
				return false;
			}
		}
		return true;
	}

	private JsonNode state(Address operator) throws IOException, InterruptedException {
		return Json.tree(this.client.get(operator.uri("/state"), TIMEOUT).body());
	}

	private static double seconds(long startNanos) {
		return (System.nanoTime() - startNanos) / 1e9;
	}

	private static void await(String condition, Callable<Boolean> check) throws InterruptedException {
		Installation.await(condition, LIMIT_MILLIS, check);
	}

}
