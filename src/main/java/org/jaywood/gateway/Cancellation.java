package org.jaywood.gateway;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.ClientConnection;

/**
 * Lets the reader of a caller's connection end the work on its call from outside: a wait
 * for a place or the exchange with an upstream, whichever is under way.
 */
final class Cancellation {

	private boolean cancelled;

	private @Nullable ClientConnection connection;

	private @Nullable CompletableFuture<?> wait;

	synchronized boolean cancelled() {
		return this.cancelled;
	}

	/**
	 * Ends the present and each later step of the call.
	 */
	synchronized void cancel() {
		this.cancelled = true;
		if (this.connection != null) {
			this.connection.abort();
		}
		if (this.wait != null) {
			this.wait.cancel(false);
		}
	}

	/**
	 * Names the exchange that is to be cut.
	 */
	synchronized void attach(ClientConnection exchange) {
		this.connection = exchange;
		if (this.cancelled) {
			exchange.abort();
		}
	}

	synchronized void attach(CompletableFuture<?> future) {
		this.wait = future;
		if (this.cancelled) {
			future.cancel(false);
		}
	}

	synchronized void detach() {
		this.connection = null;
		this.wait = null;
	}

}
