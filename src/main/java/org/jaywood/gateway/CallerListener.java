package org.jaywood.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;

import org.jaywood.event.Event;
import org.jaywood.feed.BootClock;
import org.jaywood.wire.Address;
import org.jaywood.wire.WireException;

/**
 * Port for callers. Each connection gets a task of its own. During a graceful shutdown,
 * the port stays open until all calls have their response and no more callers connect,
 * since the kernel resets a connection that waits in the queue of a port that closes.
 */
final class CallerListener {

	private static final int BACKLOG = 512;

	/** Bounds the bytes of a connection that the kernel holds unread; it doubles this. */
	private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

	/** Bounds the bytes that the kernel holds for a caller that reads slowly. */
	private static final int SEND_BUFFER_BYTES = 64 * 1024;

	/** Time-out of an accept once the port must close although callers still connect. */
	private static final long FINAL_POLL_MILLIS = 1;

	/** Time without a new connection after which a finished shutdown closes the port. */
	private static final long QUIET_MILLIS = 50;

	private final ServerSocket server;

	private final GatewayContext context;

	private final CallerConnections connections;

	private final RefusedConnections refusedConnections;

	private final Thread acceptor = Thread.ofPlatform().daemon().name("accept").unstarted(this::accept);

	CallerListener(Address address, GatewayContext context, CallerConnections connections) {
		this.context = context;
		this.connections = connections;
		this.refusedConnections = new RefusedConnections(context);
		try {
			this.server = new ServerSocket();
			this.server.setReuseAddress(true);
			this.server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			this.server.bind(address.socketAddress(), BACKLOG);
		}
		catch (IOException ex) {
			throw new WireException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
	}

	CallerListener start() {
		this.acceptor.start();
		return this;
	}

	int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Waits until the port has closed and all its accepted connections are counted in
	 * {@link CallerConnections}.
	 * @return whether that happened within the time-out
	 */
	boolean awaitClosed(long timeoutMillis) throws InterruptedException {
		return this.acceptor.join(Duration.ofMillis(Math.max(0, timeoutMillis)));
	}

	private void accept() {
		boolean accepted = true;
		while ((accepted && hasTime()) || !mayClose()) {
			accepted = acceptWithin(pollMillis());
		}
		close();
	}

	private boolean hasTime() {
		return BootClock.nowMillis() < this.connections.shutdown().answerDeadlineMillis();
	}

	private boolean mayClose() {
		long nowMillis = BootClock.nowMillis();
		return this.connections.finished(nowMillis) || this.connections.mustClosePort(nowMillis);
	}

	private long pollMillis() {
		long nowMillis = BootClock.nowMillis();
		if (this.connections.mustClosePort(nowMillis)) {
			return FINAL_POLL_MILLIS;
		}
		long leftMillis = this.connections.shutdown().idleCloseMillis() - nowMillis;
		return Math.clamp(leftMillis, QUIET_MILLIS, CallerConnection.MAX_POLL_MILLIS);
	}

	private boolean acceptWithin(long millis) {
		try {
			this.server.setSoTimeout(Math.toIntExact(millis));
			admit(this.server.accept());
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException | RuntimeException ex) {
			this.context.log().log(Event.TASK_FAILED, "task", "accept", "error", ex);
			return false;
		}
	}

	private void admit(Socket socket) throws IOException {
		socket.setSendBufferSize(SEND_BUFFER_BYTES);
		if (this.connections.full() || CallerConnection.tryStart(this.context, this.connections, socket) == null) {
			this.refusedConnections.refuse(socket);
		}
	}

	private void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			this.context.log().log(Event.TASK_FAILED, "task", "close", "error", ex);
		}
	}

}
