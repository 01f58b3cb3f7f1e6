package org.jaywood.gateway;

import java.io.IOException;

/**
 * Thrown when an attempt has ended without a response that can be forwarded.
 */
final class AttemptEndedException extends IOException {

	private static final long serialVersionUID = 1L;

	private final transient AttemptResult result;

	AttemptEndedException(AttemptResult result) {
		super(result.toString());
		this.result = result;
	}

	/**
	 * Returns how the attempt ended.
	 */
	AttemptResult result() {
		return this.result;
	}

}
