package org.jaywood.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.WireException;

/**
 * Port for callers. Each connection gets a task of its own.
 */
final class CallerListener implements AutoCloseable {

	private static final int BACKLOG = 512;

	private final ServerSocket server;

	private final GatewayContext context;

	private final ActiveCalls active;

	private volatile boolean closed;

	CallerListener(Address address, GatewayContext context, ActiveCalls active) {
		this.context = context;
		this.active = active;
		try {
			this.server = new ServerSocket();
			this.server.setReuseAddress(true);
			this.server.bind(address.socketAddress(), BACKLOG);
		}
		catch (IOException ex) {
			throw new WireException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
	}

	CallerListener start() {
		Thread.ofPlatform().daemon().name("accept").start(this::accept);
		return this;
	}

	int port() {
		return this.server.getLocalPort();
	}

	private void accept() {
		EventLog log = this.context.log();
		while (!this.closed) {
			try {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(new CallerConnection(this.context, this.active, socket));
			}
			catch (IOException | RuntimeException ex) {
				if (!this.closed) {
					log.log(Event.TASK_FAILED, "task", "accept", "error", ex);
				}
			}
		}
	}

	@Override
	public void close() {
		this.closed = true;
		try {
			this.server.close();
		}
		catch (IOException ex) {
			this.context.log().log(Event.TASK_FAILED, "task", "close", "error", ex);
		}
	}

}
