package org.jaywood.router;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpServer;
import org.eclipse.jetty.http.spi.DelegatingThreadPool;
import org.eclipse.jetty.http.spi.JettyHttpServer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ContextHandlerCollection;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.WireException;

/**
 * Port for callers, on Jetty behind the API of the JDK's server. It bounds the memory
 * that the operating system uses for a caller that does not read, and it can close the
 * connection during a response, since Jetty would end the chunked body of a failed
 * handler as if it were complete.
 */
final class CallerPort {

	/**
	 * Without it, the JDK's server accepted 2,786,304 bytes for a caller that never
	 * reads.
	 */
	private static final int SEND_BUFFER_BYTES = 4_096;

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_PENDING_CONNECTIONS = 1_024;

	/**
	 * Longer than any call may take, so that it never closes the connection of a running
	 * one.
	 */
	private static final long IDLE_TIMEOUT_MILLIS = 90_000;

	/**
	 * Strong reference: the logging system has only weak ones and would lose the level.
	 */
	private static final Logger JETTY_LOGGER = Logger.getLogger("org.eclipse.jetty");

	static {
		// Jetty logs a stack trace for each aborted response; a metric counts these
		// instead.
		JETTY_LOGGER.setLevel(Level.SEVERE);
	}

	private static final ThreadLocal<@Nullable EndPoint> CURRENT_END_POINT = new ThreadLocal<>();

	private CallerPort() {
	}

	static HttpPort open(Address address, EventLog log) {
		return HttpPort.forServer(server(address), log, currentConnectionCloser());
	}

	/**
	 * Returns an action that closes the connection of the request which the current
	 * thread handles. Any thread may run it.
	 */
	static Runnable connectionCloser() {
		EndPoint endPoint = CURRENT_END_POINT.get();
		return () -> {
			if (endPoint != null) {
				reset(endPoint);
			}
		};
	}

	private static void reset(EndPoint endPoint) {
		try {
			// A body without a length ends with the connection and would seem complete
			// after an orderly close, so the connection is reset.
			if (endPoint.getTransport() instanceof SocketChannel channel) {
				channel.setOption(StandardSocketOptions.SO_LINGER, 0);
			}
		}
		catch (IOException ex) {
			// The connection is closed already.
		}
		endPoint.close(new IOException("aborted"));
	}

	private static Runnable currentConnectionCloser() {
		return () -> connectionCloser().run();
	}

	private static HttpServer server(Address address) {
		Server server = new Server(new DelegatingThreadPool(Runnable::run));
		server.setHandler(new EndPointHandler(new ContextHandlerCollection()));
		JettyHttpServer http = new JettyHttpServer(server, false);
		try {
			http.bind(address.socketAddress(), MAX_PENDING_CONNECTIONS);
		}
		catch (IOException ex) {
			throw new WireException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
		Stream.of(server.getConnectors())
			.filter(ServerConnector.class::isInstance)
			.map(ServerConnector.class::cast)
			.forEach(CallerPort::configure);
		return http;
	}

	private static void configure(ServerConnector connector) {
		connector.setAcceptedSendBufferSize(SEND_BUFFER_BYTES);
		connector.setAcceptQueueSize(MAX_PENDING_CONNECTIONS);
		connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
		HttpConfiguration configuration = connector.getConnectionFactory(HttpConnectionFactory.class)
			.getHttpConfiguration();
		configuration.setSendServerVersion(false);
		configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
		configuration.setOutputBufferSize(SEND_BUFFER_BYTES);
	}

	/**
	 * Stores the connection of a request for the thread that handles it.
	 */
	private static final class EndPointHandler extends Handler.Wrapper {

		EndPointHandler(Handler next) {
			super(next);
		}

		@Override
		public boolean handle(Request request, Response response, Callback callback) throws Exception {
			CURRENT_END_POINT.set(request.getConnectionMetaData().getConnection().getEndPoint());
			try {
				return super.handle(request, response, callback);
			}
			finally {
				CURRENT_END_POINT.remove();
			}
		}

	}

}
