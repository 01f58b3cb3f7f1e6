package org.jaywood.wire;

/**
 * Leaves a handler so that the server cuts the connection. The JDK's server ends a
 * chunked body as if whole when an exchange is closed, but not when an exception leaves
 * the handler with the exchange still open.
 */
public class AbortedExchangeException extends WireException {

	public AbortedExchangeException(String message) {
		super(message);
	}

}
