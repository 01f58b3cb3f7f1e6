package org.jaywood.wire;

/**
 * Failure of an HTTP exchange or of the encoding or decoding of its content.
 */
public class WireException extends RuntimeException {

	public WireException(String message) {
		super(message);
	}

	public WireException(String message, Throwable cause) {
		super(message, cause);
	}

}
