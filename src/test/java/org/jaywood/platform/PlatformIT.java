package org.jaywood.platform;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
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
 * Runs the gateway and the replica as real processes against fakes of the platform's
 * store and engines.
 */
class PlatformIT {

	private static final String KEY = PlatformProcesses.KEY;

	private static final long MAX_REVOKED_KEY_MILLIS = PlatformProcesses.MAX_REVOKED_KEY_MILLIS;

	private static final long MAX_CONFIGURATION_AGE_MILLIS = PlatformProcesses.MAX_CONFIGURATION_AGE_MILLIS;

	private static final String GATEWAY = PlatformProcesses.gateway(0);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private PlatformProcesses processes;

	private ProcessFleet fleet;

	private FakeMetadataStore store;

	private FakePlatformEngine engine;

	private Address callerAddress;

	@BeforeEach
	void start() throws Exception {
		this.processes = new PlatformProcesses(1, 1, new EventLog("test")).start();
		this.fleet = this.processes.fleet();
		this.store = this.processes.store();
		this.engine = this.processes.engine(0);
		this.callerAddress = this.processes.callerAddress(0);
		Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(KEY) == 200);
	}

	@AfterEach
	void stop() {
		this.processes.close();
	}

	private Map<String, Object> configuration(long version, List<String> keys) {
		return this.processes.configuration(version, keys);
	}

	private int call(String key) throws IOException, InterruptedException {
		return send(key).statusCode();
	}

	private HttpResponse<String> send(String key) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.callerAddress + "/calls/a"))
			.timeout(Duration.ofSeconds(6))
			.header("X-Attempt-Id", UUID.randomUUID().toString())
			.header("X-Deadline-Ms", "5000")
			.header("X-Tenant", "forged")
			.header("Authorization", "Bearer " + key)
			.POST(HttpRequest.BodyPublishers.ofString("prompt"))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Guards against answers that are altered or incomplete, and against keys and forged
	 * workspace names that reach an engine.
	 */
	@Nested
	class Calls {

		@Test
		void answerIsForwardedUnchangedWithoutKey() throws Exception {
			HttpResponse<String> answer = send(KEY);
			assertThat(answer.body()).isEqualTo("id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
			assertThat(answer.headers().firstValue("X-Response-Seal").orElseThrow()).startsWith("seal-");
			FakePlatformEngine.Call call = PlatformIT.this.engine.executedCalls().getLast();
			assertThat(call.workspace()).isEqualTo("workspace-1");
			assertThat(call.authorization()).isEqualTo("null");
		}

		@Test
		void unknownKeyIsRejected() throws Exception {
			assertThat(call("other")).isEqualTo(401);
		}

	}

	/**
	 * Guards against keys that are still accepted after their revocation, whatever the
	 * state of the store.
	 */
	@Nested
	class KeyRevocation {

		@Test
		void revokedKeyIsRejectedWithinMaxConfigurationAge() throws Exception {
			PlatformIT.this.store.put("config", "main", configuration(2, List.of()));
			Awaitility.await().atMost(Duration.ofMillis(MAX_CONFIGURATION_AGE_MILLIS)).until(() -> call(KEY) == 401);
		}

		@Test
		void revokedKeyIsRejectedAfterHistoryWasDropped() throws Exception {
			PlatformIT.this.store.put("config", "main", configuration(2, List.of()));
			PlatformIT.this.store.dropHistory();
			Awaitility.await().atMost(Duration.ofMillis(MAX_REVOKED_KEY_MILLIS)).until(() -> call(KEY) == 401);
		}

		@Test
		void keysAreRejectedWhileStoreIsSilent() throws Exception {
			PlatformIT.this.store.setFault(Fault.SILENT);
			long startNanos = System.nanoTime();
			Awaitility.await().atMost(Duration.ofMillis(MAX_REVOKED_KEY_MILLIS)).until(() -> call(KEY) == 503);
			assertThat(Duration.ofNanos(System.nanoTime() - startNanos).toMillis()).isLessThan(MAX_REVOKED_KEY_MILLIS);
			PlatformIT.this.store.setFault(Fault.NONE);
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(KEY) == 200);
		}

		@Test
		void keyRevokedDuringStallIsRejected() throws Exception {
			PlatformIT.this.fleet.pause(GATEWAY);
			PlatformIT.this.store.put("config", "main", configuration(2, List.of()));
			PlatformIT.this.store.setFault(Fault.SILENT);
			Thread.sleep(MAX_REVOKED_KEY_MILLIS);
			PlatformIT.this.fleet.resume(GATEWAY);
			assertThat(call(KEY)).isEqualTo(503);
		}

	}

	/**
	 * Guards against calls that reach an engine although their callers have closed the
	 * connection.
	 */
	@Nested
	class GoneCallers {

		private static final int CALLERS = 20;

		/** Longer than the time within which a call may still reach an engine. */
		private static final long STALL_MILLIS = 700;

		@Test
		void callsOfCallersGoneDuringStallAreNotSent() throws Exception {
			PlatformIT.this.fleet.pause(GATEWAY);
			for (int number = 0; number < CALLERS; number++) {
				try (Socket caller = new Socket(PlatformIT.this.callerAddress.host(),
						PlatformIT.this.callerAddress.port())) {
					caller.getOutputStream().write(request("left-" + number).getBytes(StandardCharsets.US_ASCII));
				}
			}
			Thread.sleep(STALL_MILLIS);
			PlatformIT.this.fleet.resume(GATEWAY);
			assertThat(call(KEY)).isEqualTo(200);
			Awaitility.await().pollDelay(Duration.ofMillis(STALL_MILLIS)).until(() -> true);
			assertThat(PlatformIT.this.engine.executedCalls()
				.stream()
				.map(FakePlatformEngine.Call::attempt)
				.filter((id) -> id.startsWith("left-"))
				.toList()).isEmpty();
		}

		private String request(String id) {
			return "POST /calls/a HTTP/1.1\r\nHost: " + PlatformIT.this.callerAddress.host() + "\r\nX-Attempt-Id: " + id
					+ "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: 2\r\n\r\nhi";
		}

	}

	/**
	 * Guards against engines that load missing, corrupt or mixed weights.
	 */
	@Nested
	class Weights {

		@Test
		void targetVersionIsLoadedCompletely() {
			PlatformIT.this.processes.setTargetVersion(2);
			Awaitility.await()
				.atMost(Duration.ofSeconds(12))
				.until(() -> PlatformIT.this.engine.loadOrders().contains("2 whole"));
			assertThat(PlatformIT.this.engine.loadOrders()).containsExactly("2 whole");
		}

		@Test
		void corruptStagedChunksAreReplaced() {
			PlatformIT.this.engine.staging().stage(1, new byte[] { 1 });
			PlatformIT.this.processes.setTargetVersion(2);
			Awaitility.await()
				.atMost(Duration.ofSeconds(12))
				.until(() -> !PlatformIT.this.engine.loadOrders().isEmpty());
			assertThat(PlatformIT.this.engine.loadOrders()).containsExactly("2 whole");
		}

	}

	/**
	 * Guards against graceful shutdowns that cut calls, and against a gateway that does
	 * not serve again after its restart.
	 */
	@Nested
	class ShutdownAndRestart {

		@Test
		void gracefulShutdownCutsNoCall() throws Exception {
			List<Integer> statuses = new ArrayList<>();
			PlatformIT.this.fleet.terminate(GATEWAY);
			long deadlineNanos = System.nanoTime() + Duration.ofMillis(1_500).toNanos();
			while (System.nanoTime() < deadlineNanos) {
				statuses.add(call(KEY));
			}
			assertThat(statuses.stream().distinct().toList()).containsExactly(200);
			assertThat(PlatformIT.this.fleet.awaitExit(GATEWAY, 8_000)).isEqualTo(0);
		}

		@Test
		void killedGatewayServesAgainAfterRestart() throws Exception {
			PlatformIT.this.fleet.kill(GATEWAY);
			assertThat(PlatformIT.this.processes.readinessStatus(0)).isEqualTo(0);
			PlatformIT.this.processes.startGateway(0);
			PlatformIT.this.processes.awaitReady(0);
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(KEY) == 200);
		}

	}

}
