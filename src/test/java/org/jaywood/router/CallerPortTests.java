package org.jaywood.router;

import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that are handled before the router has its configuration:
 * Jetty's server starts by itself when it gets its executor.
 */
class CallerPortTests {

	private static final String HOST = "127.0.0.77";

	private static Address freeAddress() throws Exception {
		try (ServerSocket socket = new ServerSocket(0, 1, new Address(HOST, 0).socketAddress().getAddress())) {
			return new Address(HOST, socket.getLocalPort());
		}
	}

	@Nested
	class Start {

		@Test
		void portAcceptsNoConnectionBeforeStart() throws Exception {
			Address address = freeAddress();
			try (HttpPort port = CallerPort.open(address, new EventLog("test"))) {
				Failures.thrownBy(ConnectException.class, () -> new Socket(address.host(), address.port()));
				port.start();
				try (Socket socket = new Socket(address.host(), address.port())) {
					assertThat(socket.isConnected()).isTrue();
				}
			}
		}

	}

}
