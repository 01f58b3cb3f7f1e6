package org.jaywood.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;
import org.jaywood.platform.PlatformCalls;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a request that is cut without an answer because its bytes arrive in the
 * instant in which a stopping process closes its idle connections.
 */
class CallerConnectionTests {

	private static CallerConnection connection(Socket accepted) {
		PlatformCalls protocol = new PlatformCalls();
		GatewayContext context = GatewayContext.create(GatewayFixture.settings(), protocol, new EventLog("test"));
		return new CallerConnection(context, new ActiveCalls(new CallAdmission(protocol, 1_000, 1_000)), accepted);
	}

	@Test
	void aConnectionWithAnUnreadRequestIsNotIdle() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				Socket caller = new Socket(server.getInetAddress(), server.getLocalPort());
				Socket accepted = server.accept()) {
			CallerConnection connection = connection(accepted);
			caller.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			Awaitility.await().until(() -> accepted.getInputStream().available() > 0);
			connection.closeIfIdle();
			assertThat(accepted.isClosed()).isFalse();
		}
	}

	@Test
	void aConnectionWithoutARequestIsClosed() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				Socket caller = new Socket(server.getInetAddress(), server.getLocalPort());
				Socket accepted = server.accept()) {
			CallerConnection connection = connection(accepted);
			connection.closeIfIdle();
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
		}
	}

}
