package org.jaywood.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.FixedResponseServer;
import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against failures of requests between processes that are taken for others: one
 * that was not sent may be sent again, one that was sent may have been handled.
 */
class WireClientTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);

	private final WireClient client = WireClient.plain("127.0.0.1");

	/**
	 * The other side handles requests.
	 */
	@Nested
	class Exchanges {

		private final HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
			.withExecutor(DaemonThreads.requestPool())
			.route("*", "/echo",
					(exchange) -> exchange.respond(200, "text/plain",
							(exchange.method() + exchange.header("Name") + exchange.query().get("a")
									+ new String(exchange.readBody(1_000), StandardCharsets.UTF_8))
								.getBytes(StandardCharsets.UTF_8)))
			.start();

		@AfterEach
		void close() {
			this.port.close();
		}

		@Test
		void methodPathHeadersAndBodyArrive() throws Exception {
			HttpResponse<byte[]> response = WireClientTests.this.client
				.send(WireClientTests.this.client.request(this.port.address().uri("/echo?a=b"), TIMEOUT)
					.setHeader("Name", "value")
					.PUT(BodyPublishers.ofString("body"))
					.build());
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("PUTvaluebbody");
			assertThat(response.headers().firstValue("content-type")).hasValue("text/plain");
		}

		@Test
		void headIsTheWholeResponse() throws Exception {
			try (FixedResponseServer service = new FixedResponseServer(
					"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")) {
				HttpResponse<byte[]> response = WireClientTests.this.client
					.send(WireClientTests.this.client.request(service.address().uri("/x"), TIMEOUT).HEAD().build());
				assertThat(response.body()).isEmpty();
			}
		}

	}

	/**
	 * The other side accepts connections and does not respond.
	 */
	@Nested
	class SilentProcesses {

		private ServerSocket server;

		private Address address;

		@BeforeEach
		void listen() throws IOException {
			this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
			this.address = new Address("127.0.0.1", this.server.getLocalPort());
		}

		@AfterEach
		void close() throws IOException {
			this.server.close();
		}

		private HttpResponse<byte[]> get(Duration timeout) throws IOException, InterruptedException {
			return WireClientTests.this.client.get(this.address.uri("/x"), timeout);
		}

		@Test
		void closedPortIsNoConnection() throws IOException {
			this.server.close();
			assertThat(Failures.thrownBy(ConnectException.class, () -> get(TIMEOUT))).isNotNull();
		}

		@Test
		void missingHeadIsATimeout() {
			assertThat(Failures.thrownBy(HttpTimeoutException.class, () -> get(SHORT_TIMEOUT))).isNotNull();
		}

		@Test
		void closedConnectionIsNeither() throws Exception {
			Thread.ofVirtual().start(() -> {
				try (Socket socket = this.server.accept()) {
					socket.getInputStream().read();
				}
				catch (IOException ex) {
					// The test is over.
				}
			});
			IOException failure = Failures.thrownBy(IOException.class, () -> get(TIMEOUT));
			assertThat(failure).isNotInstanceOf(ConnectException.class);
			assertThat(failure).isNotInstanceOf(HttpTimeoutException.class);
		}

		@Test
		void interruptEndsTheWait() throws Exception {
			CountDownLatch ended = new CountDownLatch(1);
			Thread waiting = Thread.ofVirtual().start(() -> {
				try {
					get(TIMEOUT);
				}
				catch (InterruptedException ex) {
					ended.countDown();
				}
				catch (IOException ex) {
					// The latch stays.
				}
			});
			this.server.accept().getInputStream().read();
			waiting.interrupt();
			assertThat(ended.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
		}

		@Test
		void closingAStreamEndsItsReadAndItsConnection() throws Exception {
			try (var executor = Executors.newVirtualThreadPerTaskExecutor()) {
				Future<HttpResponse<InputStream>> response = executor.submit(() -> WireClientTests.this.client
					.stream(WireClientTests.this.client.request(this.address.uri("/x"), TIMEOUT).GET().build()));
				Socket accepted = this.server.accept();
				accepted.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo".getBytes(StandardCharsets.US_ASCII));
				InputStream body = response.get().body();
				assertThat(body.readNBytes(2)).hasLength(2);
				Future<Integer> read = executor.submit(() -> body.read());
				body.close();
				assertThat(Failures.thrownBy(Exception.class, read::get)).hasCauseThat()
					.isInstanceOf(IOException.class);
				assertThat(accepted.getInputStream().readAllBytes()).isNotEmpty();
			}
		}

	}

}
