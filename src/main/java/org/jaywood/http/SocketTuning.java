package org.jaywood.http;

import java.io.IOException;
import java.net.Socket;
import java.net.StandardSocketOptions;

import jdk.net.ExtendedSocketOptions;

/**
 * Sets the options of all TCP sockets. Keep-alive probes detect within some seconds a
 * peer that is unreachable and has sent no reset.
 */
final class SocketTuning {

	private static final int KEEP_ALIVE_IDLE_SECONDS = 2;

	private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

	private static final int KEEP_ALIVE_PROBES = 3;

	private SocketTuning() {
	}

	static void apply(Socket socket) throws IOException {
		socket.setTcpNoDelay(true);
		socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
		socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS);
		socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_SECONDS);
		socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
	}

}
