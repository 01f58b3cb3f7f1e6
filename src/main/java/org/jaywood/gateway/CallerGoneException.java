package org.jaywood.gateway;

import java.io.IOException;

/**
 * The connection to the caller broke while its answer was written.
 */
final class CallerGoneException extends IOException {

	private static final long serialVersionUID = 1L;

	CallerGoneException(IOException cause) {
		super("the caller is gone: " + cause.getMessage(), cause);
	}

}
