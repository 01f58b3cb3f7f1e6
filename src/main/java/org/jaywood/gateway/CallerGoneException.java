package org.jaywood.gateway;

import java.io.IOException;

/**
 * Thrown when the connection to the caller fails while the response is written.
 */
final class CallerGoneException extends IOException {

	private static final long serialVersionUID = 1L;

	CallerGoneException(IOException cause) {
		super("the caller is gone: " + cause.getMessage(), cause);
	}

}
