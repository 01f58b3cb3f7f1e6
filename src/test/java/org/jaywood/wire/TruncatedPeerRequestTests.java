package org.jaywood.wire;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a request of a peer that breaks off within its head and is handled as
 * one without a body.
 */
class TruncatedPeerRequestTests {

	private final List<byte[]> handled = new CopyOnWriteArrayList<>();

	private final HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
		.route("*", "/calls", (exchange) -> {
			this.handled.add(exchange.readBody(1_000));
			exchange.respond(200, "text/plain", new byte[0]);
		})
		.start();

	@AfterEach
	void close() {
		this.port.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "Content-Length: 4\r\n", "Content-Length: 4", "Content-Le",
			"Transfer-Encoding: chunked\r\n" })
	void requestThatBreaksOffIsNotHandled(String end) throws Exception {
		try (Socket peer = new Socket("127.0.0.1", this.port.address().port())) {
			peer.setSoTimeout(5_000);
			peer.getOutputStream()
				.write(("POST /calls HTTP/1.1\r\nHost: a\r\n" + end).getBytes(StandardCharsets.US_ASCII));
			peer.shutdownOutput();
			peer.getInputStream().readAllBytes();
		}
		assertThat(this.handled).isEmpty();
	}

}
