package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.http.ClientConnection;
import org.jaywood.http.StreamedResponse;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Runs gateways and replicas as real processes while their store is restored from an
 * older copy. Guards against calls that are refused because of a restore, keys that are
 * valid again, and weights that go back.
 */
class StoreRestoreIT {

	private static final String KEY = PlatformProcesses.KEY;

	/** Time of load after a restore, longer than lost entries are kept. */
	private static final long LOAD_MILLIS = 3_000;

	private static final long CALL_PAUSE_MILLIS = 20;

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long RESPONSE_TIMEOUT_MILLIS = 6_000;

	private PlatformProcesses processes;

	private FakeMetadataStore store;

	/** Port through which the second gateway reaches the store. */
	private HttpPort path;

	@BeforeEach
	void start() throws Exception {
		this.processes = new PlatformProcesses(2, 2, new EventLog("test")).withOwnStoreAddress(1);
		this.store = this.processes.store();
		this.path = this.store.openPort(this.processes.ownStoreAddress(1));
		this.processes.start();
		for (int gateway = 0; gateway < 2; gateway++) {
			int number = gateway;
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(number) == 200);
		}
	}

	@AfterEach
	void stop() {
		this.processes.close();
		this.path.close();
	}

	private int call(int gateway) throws IOException {
		try (ClientConnection connection = ClientConnection.open(this.processes.callerAddress(gateway),
				CONNECT_TIMEOUT_MILLIS)) {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/calls/a");
			request.setHeader("Host", this.processes.host());
			request.setHeader("X-Attempt-Id", UUID.randomUUID().toString());
			request.setHeader("X-Deadline-Ms", "5000");
			request.setHeader("Authorization", "Bearer " + KEY);
			connection.send(request, "prompt".getBytes(StandardCharsets.US_ASCII));
			StreamedResponse response = connection.receive(RESPONSE_TIMEOUT_MILLIS);
			response.body().readAllBytes();
			return response.status();
		}
	}

	private void awaitEra(int gateway, long era) {
		Awaitility.await()
			.atMost(Duration.ofSeconds(10))
			.until(() -> Long.toString(era).equals(this.processes.metrics(gateway).get("store_era")));
	}

	private long restoredLines(String process) throws IOException {
		return this.processes.logLines(List.of("STORE_RESTORED"))
			.stream()
			.filter((line) -> line.startsWith(process))
			.count();
	}

	/**
	 * Sends calls to the first gateway during a change and for a while after it.
	 * @return statuses of the calls
	 */
	private List<Integer> callDuring(Runnable change) throws Exception {
		return callDuring(0, change);
	}

	private List<Integer> callDuring(int gateway, Runnable change) throws Exception {
		ConcurrentLinkedQueue<Integer> statuses = new ConcurrentLinkedQueue<>();
		AtomicBoolean ended = new AtomicBoolean();
		CompletableFuture<Void> load = CompletableFuture.runAsync(() -> {
			try {
				while (!ended.get()) {
					statuses.add(call(gateway));
					Thread.sleep(CALL_PAUSE_MILLIS);
				}
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
		change.run();
		Thread.sleep(LOAD_MILLIS);
		ended.set(true);
		load.get();
		return List.copyOf(statuses);
	}

	@Test
	void callsGoOnWhenEntriesOfAllEnginesAreLostTwiceInARow() throws Exception {
		FakeMetadataStore.Copy copy = this.store.copy();
		this.store.delete("servers", "engine-0");
		this.store.delete("servers", "engine-1");
		FakeMetadataStore.Copy withoutEngines = this.store.copy();
		this.store.restore(copy);
		awaitEra(0, 1);
		List<Integer> statuses = callDuring(() -> {
			this.store.restore(withoutEngines);
			awaitEra(0, 2);
			this.store.restore(withoutEngines);
			awaitEra(0, 3);
			this.processes.publishEngine(0);
			this.processes.publishEngine(1);
		});
		assertThat(statuses.stream().distinct().toList()).containsExactly(200);
		assertThat(restoredLines(PlatformProcesses.gateway(0))).isEqualTo(3);
	}

	@Test
	void revokedKeyIsNotAcceptedAgain() throws Exception {
		FakeMetadataStore.Copy copy = this.store.copy();
		this.store.put("config", "main", this.processes.configuration(2, List.of("other")));
		Awaitility.await().until(() -> call(0) == 401);
		List<Integer> statuses = callDuring(() -> {
			this.store.restore(copy);
			awaitEra(0, 1);
		});
		assertThat(statuses).doesNotContain(200);
		Awaitility.await()
			.atMost(Duration.ofMillis(PlatformProcesses.MAX_REVOKED_KEY_MILLIS))
			.until(() -> call(0) == 503);
		this.store.put("config", "main", this.processes.configuration(2, List.of("other")));
		Awaitility.await().until(() -> call(0) == 401);
	}

	/**
	 * The gateway that is cut off knows of the revocation, and of the restore only after
	 * it: the store then offers the key again.
	 */
	@Test
	void gatewayThatIsPartitionedThroughARestoreAcceptsNoRevokedKey() throws Exception {
		FakeMetadataStore.Copy copy = this.store.copy();
		this.store.put("config", "main", this.processes.configuration(2, List.of("other")));
		Awaitility.await().until(() -> call(1) == 401);
		List<Integer> statuses = callDuring(1, () -> {
			this.path.close();
			this.store.restore(copy);
			awaitEra(0, 1);
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> call(1) == 503);
			this.path = this.store.openPort(this.processes.ownStoreAddress(1));
			awaitEra(1, 1);
		});
		assertThat(statuses).doesNotContain(200);
		this.store.put("config", "main", this.processes.configuration(2, List.of("other")));
		Awaitility.await().until(() -> call(1) == 401);
	}

	@Test
	void weightsDoNotGoBackDuringARolloutUnderLoad() throws Exception {
		FakeMetadataStore.Copy copy = this.store.copy();
		List<Integer> statuses = callDuring(() -> {
			this.processes.setTargetVersion(2);
			Awaitility.await()
				.atMost(Duration.ofSeconds(12))
				.until(() -> this.processes.engine(0).loadOrders().contains("2 whole")
						|| this.processes.engine(1).loadOrders().contains("2 whole"));
			this.path.close();
			this.store.restore(copy);
			awaitEra(0, 1);
			this.path = this.store.openPort(this.processes.ownStoreAddress(1));
			awaitEra(1, 1);
			this.processes.setTargetVersion(2);
			Awaitility.await()
				.atMost(Duration.ofSeconds(15))
				.until(() -> this.processes.engine(0).loadOrders().contains("2 whole")
						&& this.processes.engine(1).loadOrders().contains("2 whole"));
		});
		assertThat(statuses.stream().distinct().toList()).containsExactly(200);
		assertThat(this.processes.engine(0).loadOrders()).containsExactly("2 whole");
		assertThat(this.processes.engine(1).loadOrders()).containsExactly("2 whole");
	}

	@Test
	void gatewayThatIsSuspendedThroughARestoreServesAgain() throws Exception {
		FakeMetadataStore.Copy copy = this.store.copy();
		this.store.put("config", "main", this.processes.configuration(2, List.of(KEY)));
		this.processes.fleet().pause(PlatformProcesses.gateway(1));
		this.store.restore(copy);
		awaitEra(0, 1);
		this.store.put("config", "main", this.processes.configuration(3, List.of(KEY)));
		this.processes.fleet().resume(PlatformProcesses.gateway(1));
		awaitEra(1, 1);
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> call(1) == 200);
	}

}
