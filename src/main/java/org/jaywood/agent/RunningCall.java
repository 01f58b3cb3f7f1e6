package org.jaywood.agent;

import java.io.Closeable;
import java.io.IOException;

import org.jspecify.annotations.Nullable;

/**
 * A call in progress, through which credit grants, cancellations and the watchdog reach
 * its connections.
 */
final class RunningCall {

	private final CallRequest request;

	private @Nullable FlowControlledStream stream;

	private @Nullable Closeable upstreamConnection;

	private boolean cancelled;

	RunningCall(CallRequest request) {
		this.request = request;
	}

	CallRequest request() {
		return this.request;
	}

	synchronized void attachStream(FlowControlledStream outgoing) {
		this.stream = outgoing;
		if (this.cancelled) {
			outgoing.cancel();
		}
	}

	/**
	 * Sets the connection that is closed to cancel the call at its upstream.
	 * @param connection the connection, null if there is none any more
	 * @throws IOException if the call is cancelled already
	 */
	synchronized void attachUpstream(@Nullable Closeable connection) throws IOException {
		this.upstreamConnection = connection;
		if (this.cancelled) {
			closeUpstream();
			throw new IOException("call is cancelled");
		}
	}

	synchronized void grant(long totalBytes) {
		if (this.stream != null) {
			this.stream.grant(totalBytes);
		}
	}

	synchronized void cancel() {
		this.cancelled = true;
		if (this.stream != null) {
			this.stream.cancel();
		}
		closeUpstream();
	}

	synchronized boolean cancelled() {
		return this.cancelled;
	}

	synchronized boolean interruptBlockedWrite(long nowNanos, long timeoutMillis) {
		return this.stream != null && this.stream.interruptBlockedWrite(nowNanos, timeoutMillis);
	}

	private void closeUpstream() {
		try {
			if (this.upstreamConnection != null) {
				this.upstreamConnection.close();
			}
		}
		catch (IOException ex) {
			// A connection that fails to close cannot be used any more either, as
			// intended.
		}
	}

}
