package org.jaywood.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a status that is none and passes as the answer of an agent, a peer, an
 * engine or the store, over the connections of the gateway and over the JDK's client.
 */
class InvalidPeerStatusTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final long MAX_MILLIS = 1_000;

	private final ServerSocket server = listen();

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	private static ServerSocket listen() {
		try {
			return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
	}

	/**
	 * Starts a process whose first response has a status, and all others status 200.
	 */
	private Address start(String status, String body) {
		Thread.ofVirtual().start(() -> {
			while (!this.server.isClosed()) {
				try {
					Socket socket = this.server.accept();
					this.connections.incrementAndGet();
					Thread.ofVirtual().start(() -> serve(socket, status, body));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	private void serve(Socket socket, String status, String body) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				if (line.isEmpty()) {
					String sent = (this.requests.incrementAndGet() == 1) ? status : "200";
					socket.getOutputStream()
						.write(("HTTP/1.1 " + sent + " Status\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
							.getBytes(StandardCharsets.ISO_8859_1));
				}
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private void assertInTime(long sinceMillis) {
		assertThat(BootClock.nowMillis() - sinceMillis).isLessThan(MAX_MILLIS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void connectionOfTheGatewayFails(String status) throws IOException {
		Address address = start(status, "evil");
		ResponseLimits limits = new ResponseLimits(TIMEOUT.toMillis(), 100);
		try (ConnectionPool pool = new ConnectionPool()) {
			long sinceMillis = BootClock.nowMillis();
			ConnectionException failure = Failures.thrownBy(ConnectionException.class,
					() -> get(pool, address, limits));
			assertInTime(sinceMillis);
			assertThat(failure.requestSent()).isTrue();
			assertThat(get(pool, address, limits).status()).isEqualTo(200);
			assertThat(this.connections.get()).isEqualTo(2);
		}
	}

	private static BufferedResponse get(ConnectionPool pool, Address address, ResponseLimits limits)
			throws IOException {
		return pool.exchange(address, new BasicClassicHttpRequest("GET", "/x"), new byte[0], limits);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void messageOverTheClientOfTheJdkFails(String status) throws Exception {
		Address address = start(status, "evil");
		assertClientFails(address);
	}

	@ParameterizedTest
	@ValueSource(strings = { "600", "999" })
	void messageWithoutBodyOverTheClientOfTheJdkFails(String status) throws Exception {
		Address address = start(status, "");
		assertClientFails(address);
	}

	private void assertClientFails(Address address) throws Exception {
		WireClient client = WireClient.plain(null);
		long sinceMillis = BootClock.nowMillis();
		Failures.thrownBy(IOException.class, () -> client.get(address.uri("/x"), TIMEOUT));
		assertInTime(sinceMillis);
		assertThat(client.get(address.uri("/x"), TIMEOUT).statusCode()).isEqualTo(200);
		assertThat(this.connections.get()).isEqualTo(2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void streamOverTheClientOfTheJdkFails(String status) throws Exception {
		Address address = start(status, "evil");
		WireClient client = WireClient.plain(null);
		long sinceMillis = BootClock.nowMillis();
		Failures.thrownBy(IOException.class,
				() -> client.stream(client.request(address.uri("/x"), TIMEOUT).GET().build()));
		assertInTime(sinceMillis);
		assertThat(client.get(address.uri("/x"), TIMEOUT).statusCode()).isEqualTo(200);
		assertThat(this.connections.get()).isEqualTo(2);
	}

}
