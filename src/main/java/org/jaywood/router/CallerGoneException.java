package org.jaywood.router;

import org.jaywood.wire.WireException;

/**
 * The caller's connection failed while an answer was written to it. Distinguished from a
 * failure of the agent's stream, which may be resumed.
 */
class CallerGoneException extends WireException {

	CallerGoneException(Throwable cause) {
		super("caller is gone", cause);
	}

}
