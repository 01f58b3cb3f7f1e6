package org.jaywood.wire;

/**
 * Failure to listen on an address or to parse one, failure of an HTTP exchange, or
 * failure to encode or decode a message.
 */
public class WireException extends RuntimeException {

	public WireException(String message) {
		super(message);
	}

	public WireException(String message, Throwable cause) {
		super(message, cause);
	}

}
