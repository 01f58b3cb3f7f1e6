package org.jaywood.wire;

/**
 * Thrown by a handler to make the server cut the connection. The JDK's server ends a
 * chunked body as if it were complete when the exchange is closed, but not when a handler
 * throws an exception while the exchange is open.
 */
public class AbortedExchangeException extends WireException {

	public AbortedExchangeException(String message) {
		super(message);
	}

}
