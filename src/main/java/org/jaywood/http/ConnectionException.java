package org.jaywood.http;

import java.io.IOException;
import java.net.ConnectException;

/**
 * Failure of a connection to another process.
 */
public class ConnectionException extends IOException {

	private static final long serialVersionUID = 1L;

	private static final String REFUSED_MESSAGE = "refused";

	private final boolean requestSent;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param requestSent whether bytes of the request may have reached the other process
	 * @param cause failure of the layer below
	 */
	public ConnectionException(String message, boolean requestSent, Throwable cause) {
		super(message, cause);
		this.requestSent = requestSent;
	}

	/**
	 * Whether bytes of the request may have reached the other process.
	 */
	public boolean requestSent() {
		return this.requestSent;
	}

	/**
	 * Whether no process accepts connections at the address, although its VM runs.
	 */
	public boolean refused() {
		// The JDK has one class for all failures to connect.
		return getCause() instanceof ConnectException cause
				&& String.valueOf(cause.getMessage()).contains(REFUSED_MESSAGE);
	}

}
