package org.jaywood.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Handler;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a command that waits for ever for a gateway that does not answer, or
 * takes an error for an answer.
 */
class ExplainCommandTests {

	private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

	private int run(String address, String... options) {
		PrintStream err = System.err;
		System.setErr(new PrintStream(this.printed, true, StandardCharsets.UTF_8));
		try {
			return new Jaywood(Map.of("JAYWOOD_KEY", "secret"))
				.run(Stream.concat(Stream.of("explain", address, "--route", "chat"), Stream.of(options))
					.toArray(String[]::new));
		}
		finally {
			System.setErr(err);
		}
	}

	private int run(Handler handler) {
		try (HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("test"))
			.route("POST", "/v1/explain", handler)
			.start()) {
			return run(port.address().toString());
		}
	}

	private void assertPrinted(String text) {
		String all = this.printed.toString(StandardCharsets.UTF_8);
		assertThat(all).contains(text);
		assertThat(all).doesNotContain("secret");
	}

	/**
	 * Guards against an answer for the key of the environment to an operator who names a
	 * workspace.
	 */
	@Test
	void workspaceBesideTheKeyOfTheEnvironment() {
		assertThat(run("127.0.0.1:1", "--workspace", "workspace-1")).isEqualTo(2);
		assertPrinted("--workspace and --key (or JAYWOOD_KEY) exclude each other");
	}

	@Test
	void silentGateway() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			long startNanos = System.nanoTime();
			assertThat(run("127.0.0.1:" + server.getLocalPort())).isEqualTo(2);
			assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(4_000L);
			assertPrinted("did not answer within 2000 ms");
		}
	}

	@Test
	void gatewayThatStopsWithinItsAnswer() {
		assertThat(run((exchange) -> {
			exchange.stream(200, "application/json").flush();
			Thread.sleep(3_000);
		})).isEqualTo(2);
		assertPrinted("did not answer within 2000 ms");
	}

	@Test
	void closedPortErrorAndUnreadableAnswer() throws Exception {
		int closedPort;
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			closedPort = server.getLocalPort();
		}
		assertThat(run("127.0.0.1:" + closedPort)).isEqualTo(2);
		assertPrinted("request failed");
		assertThat(run((exchange) -> exchange.respondError(500, "broken"))).isEqualTo(2);
		assertPrinted("answered with status 500: {\"error\":\"broken\"}");
		assertThat(run((exchange) -> exchange.respond(200, "text/plain", "no JSON".getBytes(StandardCharsets.UTF_8))))
			.isEqualTo(2);
		assertPrinted("malformed response");
	}

}
