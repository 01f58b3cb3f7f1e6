package org.jaywood.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.Semaphore;

import org.jaywood.feed.BootClock;
import org.jaywood.http.RequestLimits;
import org.jaywood.http.RequestReader;
import org.jaywood.http.ResponseWriter;

/**
 * Refuses connections beyond the bound: each gets a response that says that nothing has
 * run, without its request being read. Only so many are answered at a time that a flood
 * of them takes no memory; the others are closed at once.
 */
final class RefusedConnections {

	private static final int MAX_AT_A_TIME = 64;

	private static final long LINGER_MILLIS = 1_000;

	private static final long MAX_LINGER_BYTES = 1024 * 1024;

	private static final CallFailure TOO_MANY = new CallFailure.NotRun("connections", 1_000);

	private final GatewayContext context;

	private final Semaphore places = new Semaphore(MAX_AT_A_TIME);

	RefusedConnections(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Refuses a connection on a task of its own.
	 */
	void refuse(Socket socket) throws IOException {
		this.context.metrics().counter("connection.refused").inc();
		if (!this.places.tryAcquire()) {
			socket.close();
			return;
		}
		Thread.ofVirtual().start(() -> {
			try {
				respond(socket);
			}
			finally {
				this.places.release();
			}
		});
	}

	private void respond(Socket socket) {
		try (socket) {
			CallerResponse response = new CallerResponse(new ResponseWriter(socket.getOutputStream()),
					this.context.protocol()::returns, () -> true);
			this.context.errorResponder().respond(response, "", BootClock.nowMillis(), TOO_MANY);
			socket.shutdownOutput();
			new RequestReader(socket, RequestLimits.DEFAULTS.maxHeaderBytes()).discard(MAX_LINGER_BYTES, LINGER_MILLIS);
		}
		catch (IOException ex) {
			this.context.metrics().counter("connection.broken").inc();
		}
	}

}
