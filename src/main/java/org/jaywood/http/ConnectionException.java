package org.jaywood.http;

import java.io.IOException;

/**
 * Failure of a connection to another process.
 */
public class ConnectionException extends IOException {

	private static final long serialVersionUID = 1L;

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

}
