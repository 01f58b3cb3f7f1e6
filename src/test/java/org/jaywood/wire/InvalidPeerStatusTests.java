package org.jaywood.wire;

import java.io.IOException;
import java.time.Duration;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;
import org.jaywood.FixedResponseServer;
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

	private @Nullable FixedResponseServer server;

	@AfterEach
	void close() throws IOException {
		if (this.server != null) {
			this.server.close();
		}
	}

	/**
	 * Starts a process whose first response has a status, and all others status 200.
	 */
	private Address start(String status, String body) {
		this.server = new FixedResponseServer(response(status, body), response("200", body));
		return this.server.address();
	}

	private static String response(String status, String body) {
		return "HTTP/1.1 " + status + " Status\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
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
			assertThat(this.server.connections()).isEqualTo(2);
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
		assertThat(this.server.connections()).isEqualTo(2);
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
		assertThat(this.server.connections()).isEqualTo(2);
	}

}
