package org.jaywood.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Range;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the stand-in that proofs of other guarantees rest on: a fault that strikes the
 * wrong connection, or not at all, would make them pass for nothing.
 */
class NetworkStandinTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final String NEAR = "127.9.1.1";

	private static final String FAR = "127.9.2.1";

	private final WireClient client = WireClient.plain(null);

	private final List<AutoCloseable> opened = new ArrayList<>();

	private final AtomicLong received = new AtomicLong();

	private NetworkStandin network;

	private Address listen;

	@BeforeEach
	void start() throws Exception {
		ServerSocket echo = keep(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
		Thread.startVirtualThread(() -> serve(echo));
		this.network = keep(new NetworkStandin(new Address("127.0.0.1", 0), new EventLog("test")));
		this.listen = new Address("127.0.0.1", freePort());
		topology(0, 0, 0, 0);
	}

	@AfterEach
	void close() throws Exception {
		for (AutoCloseable resource : this.opened.reversed()) {
			resource.close();
		}
	}

	private <T extends AutoCloseable> T keep(T resource) {
		this.opened.add(resource);
		return resource;
	}

	private static int freePort() throws IOException {
		try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return probe.getLocalPort();
		}
	}

	private void serve(ServerSocket echo) {
		while (!echo.isClosed()) {
			try {
				Socket socket = echo.accept();
				Thread.startVirtualThread(() -> echo(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void echo(Socket socket) {
		try (socket) {
			byte[] buffer = new byte[8192];
			for (int count = socket.getInputStream().read(buffer); count >= 0; count = socket.getInputStream()
				.read(buffer)) {
				this.received.addAndGet(count);
				socket.getOutputStream().write(buffer, 0, count);
			}
		}
		catch (IOException ex) {
			// The proxy reset the connection.
		}
	}

	private void topology(long delayMicros, long regionRate, long nearRate, long echoRate) throws Exception {
		Address target = new Address("127.0.0.1", ((ServerSocket) this.opened.getFirst()).getLocalPort());
		List<Map<String, Object>> vms = List.of(vm("near", NEAR, "doto", nearRate, List.of()),
				vm("far", FAR, "donan", 0, List.of()),
				vm("echo", "127.9.1.9", "doto", echoRate, List.of(Map.of("listen", this.listen, "target", target))));
		post("/control/topology", Map.of("vms", vms, "links", Map.of("dataCentreDelayMicros", 0, "regionDelayMicros",
				delayMicros, "regionBytesPerSecond", regionRate)));
	}

	private static Map<String, Object> vm(String name, String host, String region, long rate, List<?> listeners) {
		return Map.of("vm", name, "host", host, "region", region, "dataCentre", region + "-a", "linkBytesPerSecond",
				rate, "listeners", listeners);
	}

	private JsonNode post(String path, Object body) throws Exception {
		return Json.tree(this.client.post(this.network.address().uri(path), body, TIMEOUT).body());
	}

	private String fault(String kind, Object... fields) throws Exception {
		Map<String, Object> fault = new HashMap<>(Map.of("kind", kind));
		for (int i = 0; i < fields.length; i += 2) {
			fault.put((String) fields[i], fields[i + 1]);
		}
		return post("/control/faults", fault).path("id").asText();
	}

	private void removeFault(String id) throws Exception {
		this.client
			.send(this.client.request(this.network.address().uri("/control/faults/" + id), TIMEOUT).DELETE().build());
	}

	private JsonNode record() throws Exception {
		return Json.tree(this.client.get(this.network.address().uri("/record"), TIMEOUT).body());
	}

	private Socket connect(String host) throws IOException {
		Socket socket = keep(new Socket());
		socket.bind(new InetSocketAddress(host, 0));
		socket.connect(this.listen.socketAddress());
		socket.setTcpNoDelay(true);
		socket.setSoTimeout(2_000);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String read(Socket socket, int length) throws IOException {
		return new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
	}

	private static String exchange(Socket socket, String text) throws IOException {
		send(socket, text);
		return read(socket, text.length());
	}

	private static Throwable failure(Action action) {
		try {
			action.run();
		}
		catch (IOException ex) {
			return ex;
		}
		throw new AssertionError("no failure");
	}

	private static long millisSince(long startNanos) {
		return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
	}

	@Nested
	class Shaping {

		@Test
		void delaysOnlyBetweenRegions() throws Exception {
			topology(30_000, 0, 0, 0);
			Socket far = connect(FAR);
			Socket near = connect(NEAR);
			exchange(near, "warm");
			exchange(far, "warm");
			long start = System.nanoTime();
			assertThat(exchange(far, "ping")).isEqualTo("ping");
			assertThat(millisSince(start)).isAtLeast(60);
			start = System.nanoTime();
			assertThat(exchange(near, "ping")).isEqualTo("ping");
			assertThat(millisSince(start)).isLessThan(60);
		}

		@Test
		void limitsRegionLinkAndCountsItsBytes() throws Exception {
			topology(0, 1_000_000, 0, 0);
			assertThat(transferMillis(FAR, 300_000)).isAtLeast(280);
			assertThat(record().at("/traffic/regionBytes/donan to doto").asLong()).isEqualTo(300_000);
			assertThat(record().at("/traffic/regionBytes/doto to donan").asLong()).isEqualTo(300_000);
		}

		@Test
		void limitsLinkOfMachine() throws Exception {
			topology(0, 0, 1_000_000, 0);
			assertThat(transferMillis(NEAR, 300_000)).isAtLeast(280);
			assertThat(record().at("/traffic/machineBytes/near sent").asLong()).isEqualTo(300_000);
		}

		@Test
		void connectionsShareTheLinkOfTheAcceptor() throws Exception {
			topology(0, 0, 0, 1_000_000);
			long start = System.nanoTime();
			Thread other = Thread.startVirtualThread(() -> {
				try {
					transferMillis(FAR, 200_000);
				}
				catch (IOException | InterruptedException ex) {
					throw new IllegalStateException(ex);
				}
			});
			transferMillis(NEAR, 200_000);
			other.join();
			assertThat(millisSince(start)).isAtLeast(380);
		}

		@Test
		void holdsUpSenderOfSlowReceiver() throws Exception {
			Socket socket = connect(NEAR);
			AtomicLong sent = new AtomicLong();
			Thread.startVirtualThread(() -> {
				try {
					while (sent.get() < 200_000_000) {
						socket.getOutputStream().write(new byte[8192]);
						sent.addAndGet(8192);
					}
				}
				catch (IOException ex) {
					// The test has ended.
				}
			});
			AtomicLong seen = new AtomicLong();
			Awaitility.await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(200)).until(() -> {
				long now = sent.get();
				return now > 0 && seen.getAndSet(now) == now;
			});
			assertThat(sent.get()).isLessThan(100_000_000);
		}

		private long transferMillis(String host, int bytes) throws IOException, InterruptedException {
			Socket socket = connect(host);
			socket.setSoTimeout(10_000);
			long start = System.nanoTime();
			Thread sender = Thread.startVirtualThread(() -> {
				try {
					socket.getOutputStream().write(new byte[bytes]);
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			});
			assertThat(socket.getInputStream().readNBytes(bytes)).hasLength(bytes);
			sender.join();
			return millisSince(start);
		}

	}

	@Nested
	class Faults {

		@Test
		void cutResetsOpenConnectionsAndRefusesNewOnes() throws Exception {
			Socket far = connect(FAR);
			Socket near = connect(NEAR);
			exchange(far, "a");
			exchange(near, "a");
			String id = fault("CUT", "source", "far", "destination", "echo");
			assertThat(failure(() -> exchangeOrFail(far))).isInstanceOf(IOException.class);
			assertThat(failure(() -> exchangeOrFail(connect(FAR)))).isInstanceOf(IOException.class);
			assertThat(exchange(near, "b")).isEqualTo("b");
			removeFault(id);
			assertThat(exchange(connect(FAR), "c")).isEqualTo("c");
		}

		@Test
		void freezeHoldsBytesUntilThawed() throws Exception {
			String id = fault("FREEZE", "source", "near");
			Socket socket = connect(NEAR);
			socket.setSoTimeout(150);
			send(socket, "held");
			assertThat(failure(() -> read(socket, 1))).isInstanceOf(SocketTimeoutException.class);
			assertThat(NetworkStandinTests.this.received.get()).isEqualTo(0);
			removeFault(id);
			socket.setSoTimeout(2_000);
			assertThat(read(socket, 4)).isEqualTo("held");
		}

		@Test
		void partitionBetweenRegionsWorksBothWays() throws Exception {
			Socket far = connect(FAR);
			Socket near = connect(NEAR);
			exchange(far, "a");
			String id = fault("PARTITION", "source", "doto", "destination", "donan");
			far.setSoTimeout(150);
			send(far, "b");
			assertThat(failure(() -> read(far, 1))).isInstanceOf(SocketTimeoutException.class);
			assertThat(exchange(near, "c")).isEqualTo("c");
			removeFault(id);
			far.setSoTimeout(2_000);
			assertThat(read(far, 1)).isEqualTo("b");
		}

		@Test
		void delayAppliesToItsDirectionOnly() throws Exception {
			fault("DELAY", "source", "near", "direction", "REPLY", "delayMillis", 80);
			Socket socket = connect(NEAR);
			long start = System.nanoTime();
			exchange(socket, "a");
			assertThat(millisSince(start)).isIn(Range.closedOpen(80L, 160L));
		}

		@Test
		void corruptFlipsTheGivenByteOnce() throws Exception {
			Socket socket = connect(NEAR);
			exchange(socket, "first");
			fault("CORRUPT", "source", "near", "direction", "REQUEST", "atByte", 2, "times", 1);
			assertThat(exchange(socket, "aaaa")).isEqualTo("aa`a");
			assertThat(exchange(connect(NEAR), "aaaa")).isEqualTo("aaaa");
			assertThat(record().at("/faults/struck/CORRUPT").asInt()).isEqualTo(1);
		}

		@Test
		void corruptStrikesWithProbability() throws Exception {
			fault("CORRUPT", "source", "near", "direction", "REPLY", "probability", 1.0);
			assertThat(exchange(connect(NEAR), "aaaa")).isNotEqualTo("aaaa");
		}

		@Test
		void truncateEndsTheConnectionAfterTheGivenBytes() throws Exception {
			fault("TRUNCATE", "source", "near", "direction", "REPLY", "atByte", 3, "times", 1);
			Socket socket = connect(NEAR);
			send(socket, "abcdef");
			assertThat(read(socket, 6)).isEqualTo("abc");
			assertThat(exchange(connect(NEAR), "abcdef")).isEqualTo("abcdef");
		}

		@Test
		void loseRepliesDeliversTheRequest() throws Exception {
			fault("LOSE_REPLIES", "source", "near");
			Socket socket = connect(NEAR);
			send(socket, "booking");
			assertThat(failure(() -> exchangeRest(socket))).isInstanceOf(IOException.class);
			assertThat(NetworkStandinTests.this.received.get()).isEqualTo(7);
		}

		@Test
		void faultWithoutKindIsRefused() throws Exception {
			assertThat(post("/control/faults", Map.of("source", "near")).has("error")).isTrue();
			assertThat(record().at("/faults/active")).isEmpty();
		}

		private void exchangeRest(Socket socket) throws IOException {
			if (socket.getInputStream().read() < 0) {
				throw new IOException("connection ended");
			}
		}

		private void exchangeOrFail(Socket socket) throws IOException {
			if (!exchange(socket, "x").equals("x")) {
				throw new IOException("connection ended");
			}
		}

	}

	/**
	 * Something that may fail.
	 */
	private interface Action {

		void run() throws IOException;

	}

}
