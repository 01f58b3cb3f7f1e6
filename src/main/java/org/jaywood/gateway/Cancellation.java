package org.jaywood.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.ClientConnection;

/**
 * Lets the reader of a caller's connection end the work on its call from outside: a wait
 * for a place and the exchanges with upstreams.
 */
final class Cancellation {

	private final Set<ClientConnection> connections = new HashSet<>();

	private boolean cancelled;

	private @Nullable CompletableFuture<?> queueWait;

	synchronized boolean cancelled() {
		return this.cancelled;
	}

	/**
	 * Ends the present and each later step of the call.
	 */
	synchronized void cancel() {
		this.cancelled = true;
		this.connections.forEach(ClientConnection::abort);
		if (this.queueWait != null) {
			this.queueWait.cancel(false);
		}
	}

	/**
	 * Names an exchange that is to be cut.
	 */
	synchronized void attach(ClientConnection exchange) {
		this.connections.add(exchange);
		if (this.cancelled) {
			exchange.abort();
		}
	}

	synchronized void detach(ClientConnection exchange) {
		this.connections.remove(exchange);
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
