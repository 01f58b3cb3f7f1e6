package org.jaywood.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.ClientConnection;

/**
 * Lets the reader of a caller's connection cancel the call that runs on another task: its
 * wait in the queue and its exchanges with upstreams.
 */
final class Cancellation {

	private final Set<ClientConnection> connections = new HashSet<>();

	private boolean cancelled;

	private boolean sent;

	private @Nullable CompletableFuture<?> queueWait;

	synchronized boolean cancelled() {
		return this.cancelled;
	}

	/**
	 * Cancels the present wait and exchanges of the call, and each later one.
	 */
	synchronized void cancel() {
		this.cancelled = true;
		this.connections.forEach(ClientConnection::abort);
		if (this.queueWait != null) {
			this.queueWait.cancel(false);
		}
	}

	/**
	 * Whether the call has been sent to an upstream, at least in part.
	 */
	synchronized boolean sent() {
		return this.sent;
	}

	/**
	 * Adds a connection on which the call is sent. It is aborted on cancellation, at once
	 * if the call has been cancelled.
	 */
	synchronized void attach(ClientConnection connection) {
		this.sent |= !this.cancelled;
		this.connections.add(connection);
		if (this.cancelled) {
			connection.abort();
		}
	}

	synchronized void detach(ClientConnection connection) {
		this.connections.remove(connection);
	}

	synchronized void attach(CompletableFuture<?> future) {
		this.queueWait = future;
		if (this.cancelled) {
			future.cancel(false);
		}
	}

	synchronized void detachQueueWait() {
		this.queueWait = null;
	}

}
