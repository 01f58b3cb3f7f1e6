package org.jaywood.router;

import org.jaywood.wire.WireException;

/**
 * Thrown if the caller's connection fails while an answer is written to it. A separate
 * type, since a failure of the agent's stream may be resumed.
 */
class CallerGoneException extends WireException {

	CallerGoneException(Throwable cause) {
		super("connection of the caller failed", cause);
	}

}
