package org.jaywood.platform;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.bench.ProcessFleet;
import org.jaywood.event.EventLog;
import org.jaywood.platform.FakeMetadataStore.Fault;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * The gateway and the replica as real processes, against stand-ins of the platform's
 * store and engines.
 */
class PlatformIT {

	private static final String KEY = "key-1";

	private static final int FIRST_PORT = 7700;

	private static final int LAST_PORT = 7715;

	/** Bound on revoked keys in the settings of the processes. */
	private static final long REVOKE_MILLIS = 5_000;

	/** Bound on configurations in the settings of the processes. */
	private static final long CONFIGURATION_MILLIS = 2_000;

	/**
	 * More than one caller sends in a second, so that no call waits for a cold engine.
	 */
	private static final int COLD_PER_SECOND = 10_000;

	private final EventLog log = new EventLog("test");

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private ProcessFleet fleet;

	private FakeMetadataStore store;

	private FakePlatformEngine engine;

	private Address front;

	private Address ready;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new ProcessFleet();
		this.store = new FakeMetadataStore(this.fleet.address(0, 0, 1, 7000), this.log);
		Address engineAddress = this.fleet.address(0, 0, 2, 8000);
		this.engine = new FakePlatformEngine("engine-1", engineAddress, this.log);
		this.store.put("config", "main", configuration(1, List.of(KEY)));
		this.store.put("servers", "engine-1", this.engine.entry("pool"));
		this.front = this.fleet.address(0, 0, 3, 8005);
		this.ready = this.fleet.address(0, 0, 3, 8002);
		this.fleet.start("gateway", "gateway", "--node-file", settings("gateway", this.front.host()).toString());
		this.fleet.start("replica", "replica", "--node-file", settings("replica", engineAddress.host()).toString());
		awaitReady();
		Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(KEY) == 200);
	}

	@AfterEach
	void stop() {
		this.fleet.close();
		this.engine.close();
		this.store.close();
	}

	private Path settings(String role, String host) throws IOException {
		Path file = Files.createTempFile("jaywood-" + role, ".toml");
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
				""".formatted(role, host, FIRST_PORT, LAST_PORT, this.fleet.address(0, 0, 2, 8000), this.front,
				this.ready, CONFIGURATION_MILLIS, REVOKE_MILLIS, this.fleet.address(0, 0, 1, 7000));
		Files.writeString(file, text);
		file.toFile().deleteOnExit();
		return file;
	}

	private Map<String, Object> configuration(long version, List<String> keys) {
		Map<String, Object> route = Map.of("Name", "work", "Host", this.fleet.address(0, 0, 3, 8005).host(),
				"PathPrefix", "/calls/", "Service", "pool", "Kind", "streaming", "Resumable", true, "TimeoutMs", 5_000,
				"TargetLatencyMs", 400, "Priority", 1, "MaxAttempts", 2);
		Map<String, Object> pool = Map.of("Name", "pool", "ColdPerS", COLD_PER_SECOND, "Engine",
				Map.of("layers", 16, "Models", List.of(Map.of("Name", FakePlatformEngine.MODEL, "WarmS", 0.1))));
		Map<String, Object> origin = Map.of("Name", "origin", "Origin", this.fleet.address(0, 0, 2, 8000).toString(),
				"Zone", "zone-a");
		return Map.of("Version", version, "Routes", List.of(route), "Services", List.of(pool, origin), "Tenants",
				List.of(Map.of("Name", "workspace-1", "ApiKeys", keys)), "Limits", Map.of("MaxHeaderBytes", 16_384,
						"MaxBodyBytes", 1_000_000, "HeaderTimeoutMs", 3_000, "IdleTimeoutMs", 15_000));
	}

	private int call(String key) throws IOException, InterruptedException {
		return send(key).statusCode();
	}

	private HttpResponse<String> send(String key) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.front + "/calls/a"))
			.timeout(Duration.ofSeconds(6))
			.header("X-Attempt-Id", UUID.randomUUID().toString())
			.header("X-Deadline-Ms", "5000")
			.header("X-Tenant", "forged")
			.header("Authorization", "Bearer " + key)
			.POST(HttpRequest.BodyPublishers.ofString("prompt"))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private int readiness() throws InterruptedException {
		try {
			return this.client
				.send(HttpRequest.newBuilder(URI.create("http://" + this.ready + "/ready")).build(),
						HttpResponse.BodyHandlers.discarding())
				.statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private void awaitReady() {
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> readiness() == 200);
	}

	/**
	 * Guards against answers that are altered or incomplete, and against keys and forged
	 * names that reach an engine.
	 */
	@Nested
	class Calls {

		@Test
		void anAnswerIsPassedOnWholeAndTheKeyIsNot() throws Exception {
			HttpResponse<String> answer = send(KEY);
			assertThat(answer.body()).isEqualTo("id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
			assertThat(answer.headers().firstValue("X-Response-Seal").orElseThrow()).startsWith("seal-");
			FakePlatformEngine.Call call = PlatformIT.this.engine.calls().getLast();
			assertThat(call.workspace()).isEqualTo("workspace-1");
			assertThat(call.authorization()).isEqualTo("null");
		}

		@Test
		void anUnknownKeyIsRejected() throws Exception {
			assertThat(call("other")).isEqualTo(401);
		}

	}

	/**
	 * Guards against keys that still work after they were taken away, whatever the store
	 * does meanwhile.
	 */
	@Nested
	class Freshness {

		@Test
		void aRevokedKeyIsRejectedWithinTheBound() throws Exception {
			PlatformIT.this.store.put("config", "main", configuration(2, List.of()));
			Awaitility.await().atMost(Duration.ofMillis(CONFIGURATION_MILLIS)).until(() -> call(KEY) == 401);
		}

		@Test
		void aRevokedKeyIsRejectedAfterTheHistoryWasDropped() throws Exception {
			PlatformIT.this.store.put("config", "main", configuration(2, List.of()));
			PlatformIT.this.store.forget();
			Awaitility.await().atMost(Duration.ofMillis(REVOKE_MILLIS)).until(() -> call(KEY) == 401);
		}

		@Test
		void callsWithKeysEndWhileTheStoreIsSilent() throws Exception {
			PlatformIT.this.store.fail(Fault.SILENT);
			long sinceNanos = System.nanoTime();
			Awaitility.await().atMost(Duration.ofMillis(REVOKE_MILLIS)).until(() -> call(KEY) == 503);
			assertThat(Duration.ofNanos(System.nanoTime() - sinceNanos).toMillis()).isLessThan(REVOKE_MILLIS);
			PlatformIT.this.store.fail(Fault.NONE);
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(KEY) == 200);
		}

		@Test
		void aPausedGatewayDoesNotServeAKeyRevokedMeanwhile() throws Exception {
			PlatformIT.this.fleet.pause("gateway");
			PlatformIT.this.store.put("config", "main", configuration(2, List.of()));
			PlatformIT.this.store.fail(Fault.SILENT);
			Thread.sleep(REVOKE_MILLIS);
			PlatformIT.this.fleet.resume("gateway");
			assertThat(call(KEY)).isEqualTo(503);
		}

	}

	/**
	 * Guards against calls that reach an engine although their callers have left.
	 */
	@Nested
	class Leaving {

		private static final int CALLERS = 20;

		/** Longer than the time in which a call may still reach an engine. */
		private static final long PAUSE_MILLIS = 700;

		@Test
		void callsOfCallersThatLeftDuringAPauseAreNotHandedOver() throws Exception {
			PlatformIT.this.fleet.pause("gateway");
			for (int number = 0; number < CALLERS; number++) {
				try (Socket caller = new Socket(PlatformIT.this.front.host(), PlatformIT.this.front.port())) {
					caller.getOutputStream().write(request("left-" + number).getBytes(StandardCharsets.US_ASCII));
				}
			}
			Thread.sleep(PAUSE_MILLIS);
			PlatformIT.this.fleet.resume("gateway");
			assertThat(call(KEY)).isEqualTo(200);
			Awaitility.await().pollDelay(Duration.ofMillis(PAUSE_MILLIS)).until(() -> true);
			assertThat(PlatformIT.this.engine.calls()
				.stream()
				.map(FakePlatformEngine.Call::attempt)
				.filter((id) -> id.startsWith("left-"))
				.toList()).isEmpty();
		}

		private String request(String id) {
			return "POST /calls/a HTTP/1.1\r\nHost: " + PlatformIT.this.front.host() + "\r\nX-Attempt-Id: " + id
					+ "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: 2\r\n\r\nhi";
		}

	}

	/**
	 * Guards against engines that load missing, spoilt or mixed weights.
	 */
	@Nested
	class Weights {

		@Test
		void aNamedVersionIsLoadedWhole() {
			PlatformIT.this.store.put("versions", FakePlatformEngine.MODEL,
					Map.of("Model", FakePlatformEngine.MODEL, "Version", 2));
			Awaitility.await()
				.atMost(Duration.ofSeconds(12))
				.until(() -> PlatformIT.this.engine.loads().contains("2 whole"));
			assertThat(PlatformIT.this.engine.loads()).containsExactly("2 whole");
		}

		@Test
		void piecesSpoiltBesideTheEngineAreReplaced() {
			PlatformIT.this.engine.spoil(1);
			PlatformIT.this.store.put("versions", FakePlatformEngine.MODEL,
					Map.of("Model", FakePlatformEngine.MODEL, "Version", 2));
			Awaitility.await().atMost(Duration.ofSeconds(12)).until(() -> !PlatformIT.this.engine.loads().isEmpty());
			assertThat(PlatformIT.this.engine.loads()).containsExactly("2 whole");
		}

	}

	/**
	 * Guards against planned stops that cut calls, and against a restart that does not
	 * find its way back.
	 */
	@Nested
	class Stops {

		@Test
		void aPlannedStopCutsNoCall() throws Exception {
			List<Integer> statuses = new ArrayList<>();
			PlatformIT.this.fleet.terminate("gateway");
			long untilNanos = System.nanoTime() + Duration.ofMillis(1_500).toNanos();
			while (System.nanoTime() < untilNanos) {
				statuses.add(call(KEY));
			}
			assertThat(statuses.stream().distinct().toList()).containsExactly(200);
			assertThat(PlatformIT.this.fleet.awaitExit("gateway", 8_000)).isEqualTo(0);
		}

		@Test
		void aKilledGatewayServesAgainAfterItsRestart() throws Exception {
			PlatformIT.this.fleet.kill("gateway");
			assertThat(readiness()).isEqualTo(0);
			PlatformIT.this.fleet.start("gateway", "gateway", "--node-file",
					settings("gateway", PlatformIT.this.front.host()).toString());
			awaitReady();
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(KEY) == 200);
		}

	}

}
