package org.jaywood.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.awaitility.Awaitility;

import org.jaywood.bench.ProcessFleet;
import org.jaywood.event.EventLog;
import org.jaywood.gateway.GatewayLimits;
import org.jaywood.wire.Address;

/**
 * Runs gateways and replicas as real processes on loopback addresses against fakes of the
 * platform's store and engines. The first engine is also the origin of weights.
 */
final class PlatformProcesses implements AutoCloseable {

	static final String KEY = "key-1";

	/** Bound on revoked keys in the settings of the processes. */
	static final long MAX_REVOKED_KEY_MILLIS = 5_000;

	/** Time for which a caller's connection may stay idle. */
	static final long IDLE_TIMEOUT_MILLIS = 15_000;

	/** Bound on configurations in the settings of the processes. */
	static final long MAX_CONFIGURATION_AGE_MILLIS = 2_000;

	/** Largest body of a call in the configuration. */
	static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	/** Number of chunks of the weights where a test states none. */
	private static final int CHUNKS = 4;

	private static final int FIRST_PORT = 7700;

	private static final int LAST_PORT = 7715;

	/**
	 * More calls than the callers send per second, so that no call waits for a cold
	 * engine.
	 */
	private static final int COLD_PER_SECOND = 10_000;

	private static final int FIRST_ENGINE_HOST = 50;

	private static final int FIRST_GATEWAY_HOST = 3;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final ProcessFleet fleet;

	private final FakeMetadataStore store;

	private final List<FakePlatformEngine> engines;

	private final int gateways;

	private List<String> gatewayOptions = List.of();

	private List<String> replicaOptions = List.of();

	private List<String> gatewayArguments = List.of();

	private String cloudSettings = "";

	private final Map<String, Address> ownStoreAddresses = new HashMap<>();

	PlatformProcesses(int gateways, int engines, EventLog log) throws IOException {
		this(gateways, engines, CHUNKS, 0, log);
	}

	/**
	 * Creates the fakes.
	 * @param chunks number of chunks of the weights
	 * @param chunkBytes size of each chunk, at least; the content makes up the rest
	 */
	PlatformProcesses(int gateways, int engines, int chunks, int chunkBytes, EventLog log) throws IOException {
		this.gateways = gateways;
		this.fleet = new ProcessFleet();
		this.store = new FakeMetadataStore(this.fleet.address(0, 0, 1, 7000), log);
		this.engines = IntStream.range(0, engines)
			.mapToObj((number) -> new FakePlatformEngine("engine-" + number, engineAddress(number),
					new FakeStagingArea(chunks, chunkBytes), log))
			.toList();
		this.store.put("config", "main", configuration(1, List.of(KEY)));
		IntStream.range(0, engines).forEach(this::publishEngine);
	}

	/**
	 * Puts the entry of an engine into the store, as it does after its start.
	 */
	void publishEngine(int number) {
		this.store.put("servers", "engine-" + number, engine(number).entry("pool"));
	}

	/**
	 * Gives processes that are started from now on a part of the heap that they have in
	 * the deploy file. The memory budget of a gateway keeps the size that it has with the
	 * whole heap, so that a load which it bears leaves the rest of the heap free.
	 */
	PlatformProcesses withHeapOfDeployFile(double part) throws IOException {
		this.gatewayOptions = DeployFile.jvmOptions("gateway", part);
		this.replicaOptions = DeployFile.jvmOptions("replica", part);
		this.gatewayArguments = List.of("--memory-percent",
				Long.toString(Math.round(GatewayLimits.DEFAULT_MEMORY_PERCENT / part)));
		return this;
	}

	/**
	 * Gives the gateways that are started from now on singletons of a leader.
	 * @param cloud address of the cloud API
	 * @param singletons names of the singletons
	 */
	PlatformProcesses withSingletons(Address cloud, String... singletons) {
		this.cloudSettings = """
				[Cloud]
				Address = "%s"
				RatePerS = 5
				Duties = ["%s"]
				DutyPerS = 4
				""".formatted(cloud, String.join("\", \"", singletons));
		return this;
	}

	/**
	 * Gives a gateway an address of the store that no other process uses. The caller
	 * opens it.
	 */
	PlatformProcesses withOwnStoreAddress(int gateway) {
		this.ownStoreAddresses.put(gateway(gateway), ownStoreAddress(gateway));
		return this;
	}

	Address ownStoreAddress(int gateway) {
		return this.fleet.address(0, 0, 1, 7001 + gateway);
	}

	/**
	 * Starts all processes and waits until the gateways are ready.
	 */
	PlatformProcesses start() throws IOException {
		for (int number = 0; number < this.gateways; number++) {
			startGateway(number);
		}
		for (int number = 0; number < this.engines.size(); number++) {
			startReplica(number);
		}
		IntStream.range(0, this.gateways).forEach(this::awaitReady);
		return this;
	}

	void startGateway(int number) throws IOException {
		List<String> arguments = new ArrayList<>(List.of("gateway", "--node-file",
				settings(gateway(number), callerAddress(number).host(), number).toString()));
		arguments.addAll(this.gatewayArguments);
		this.fleet.start(gateway(number), this.gatewayOptions, arguments.toArray(String[]::new));
	}

	void startReplica(int number) throws IOException {
		this.fleet.start(replica(number), this.replicaOptions, "replica", "--node-file",
				settings(replica(number), engineAddress(number).host(), 0).toString());
	}

	static String gateway(int number) {
		return "gateway-" + number;
	}

	static String replica(int number) {
		return "replica-" + number;
	}

	ProcessFleet fleet() {
		return this.fleet;
	}

	FakeMetadataStore store() {
		return this.store;
	}

	List<FakePlatformEngine> engines() {
		return this.engines;
	}

	FakePlatformEngine engine(int number) {
		return this.engines.get(number);
	}

	Address callerAddress(int gateway) {
		return this.fleet.address(0, 0, FIRST_GATEWAY_HOST + gateway, 8005);
	}

	/**
	 * Returns the host name in the routes, which is the same for all gateways.
	 */
	String host() {
		return callerAddress(0).host();
	}

	Map<String, Object> configuration(long version, List<String> keys) {
		return configuration(version, keys, IDLE_TIMEOUT_MILLIS);
	}

	Map<String, Object> configuration(long version, List<String> keys, long idleMillis) {
		Map<String, Object> route = Map.of("Name", "work", "Host", host(), "PathPrefix", "/calls/", "Service", "pool",
				"Kind", "streaming", "Resumable", true, "TimeoutMs", 5_000, "TargetLatencyMs", 400, "Priority", 1,
				"MaxAttempts", 2);
		Map<String, Object> pool = Map.of("Name", "pool", "ColdPerS", COLD_PER_SECOND, "Engine",
				Map.of("layers", 16, "Models", List.of(Map.of("Name", FakePlatformEngine.MODEL, "WarmS", 0.1))));
		Map<String, Object> origin = Map.of("Name", "origin", "Origin", engineAddress(0).toString(), "Zone", "zone-a");
		return Map.of("Version", version, "Routes", List.of(route), "Services", List.of(pool, origin), "Tenants",
				List.of(Map.of("Name", "workspace-1", "ApiKeys", keys)), "Limits", Map.of("MaxHeaderBytes", 16_384,
						"MaxBodyBytes", MAX_BODY_BYTES, "HeaderTimeoutMs", 3_000, "IdleTimeoutMs", idleMillis));
	}

	void setTargetVersion(long version) {
		this.store.put("versions", FakePlatformEngine.MODEL,
				Map.of("Model", FakePlatformEngine.MODEL, "Version", version));
	}

	/**
	 * Returns the status of the readiness endpoint of a gateway, 0 if it does not
	 * respond.
	 */
	int readinessStatus(int gateway) {
		try {
			return this.client
				.send(HttpRequest.newBuilder(URI.create("http://" + readinessAddress(gateway) + "/ready")).build(),
						HttpResponse.BodyHandlers.discarding())
				.statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	void awaitReady(int gateway) {
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> readinessStatus(gateway) == 200);
	}

	/**
	 * Returns the lines of all logs about memory that is used up. A process ends with the
	 * first one.
	 */
	List<String> memoryErrors() throws IOException {
		return logLines(List.of("OutOfMemoryError"));
	}

	/**
	 * Returns the lines of all logs that contain one of some texts.
	 */
	List<String> logLines(List<String> texts) throws IOException {
		List<String> lines = new ArrayList<>();
		try (Stream<Path> files = Files.list(this.fleet.logDirectory())) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".log")).toList()) {
				Files.readAllLines(file)
					.stream()
					.filter((line) -> texts.stream().anyMatch(line::contains))
					.map((line) -> file.getFileName() + ": " + line)
					.forEach(lines::add);
			}
		}
		return lines;
	}

	/**
	 * Returns the metrics of a gateway by name.
	 */
	Map<String, String> metrics(int gateway) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + new Address(callerAddress(gateway).host(), LAST_PORT) + "/metrics"))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString())
			.body()
			.lines()
			.map((line) -> line.split(" ", 2))
			.collect(Collectors.toMap((parts) -> parts[0], (parts) -> parts[1]));
	}

	private Address readinessAddress(int gateway) {
		return this.fleet.address(0, 0, FIRST_GATEWAY_HOST + gateway, 8002);
	}

	private Address engineAddress(int number) {
		return this.fleet.address(0, 0, FIRST_ENGINE_HOST + number, 8000);
	}

	private Path settings(String name, String host, int gateway) throws IOException {
		Path file = Files.createTempFile("jaywood-" + name, ".toml");
		String text = """
				Node = "%s"
				Ip = "%s"
				Zone = "zone-a"
				Region = "region-a"
				PortRange = [%d, %d]
				app = "%s"
				Service = "pool"
				Unknown = "ignored"
				[Zones]
				zone-a = "region-a"
				[Listen]
				Front = "%s"
				ReadyAddress = "%s"
				[Limits]
				LinkMbps = 1000.0
				[Bounds]
				GraceS = 8
				ConfigMs = %d
				StrictRevoke = true
				RevokeMs = %d
				RetryBudgetRatio = 0.2
				BudgetWindowS = 10
				BudgetExtra = 100
				ColdOverage = 1.5
				ColdSlack = 5
				version_ms = 8000
				[Platform]
				Address = "%s"
				""".formatted(name, host, FIRST_PORT, LAST_PORT, new Address(host, 8000), callerAddress(gateway),
				readinessAddress(gateway), MAX_CONFIGURATION_AGE_MILLIS, MAX_REVOKED_KEY_MILLIS,
				this.ownStoreAddresses.getOrDefault(name, this.store.address()));
		Files.writeString(file, text + this.cloudSettings);
		file.toFile().deleteOnExit();
		return file;
	}

	@Override
	public void close() {
		this.fleet.close();
		this.engines.forEach(FakePlatformEngine::close);
		this.store.close();
	}

}
