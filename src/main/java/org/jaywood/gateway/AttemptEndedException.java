package org.jaywood.gateway;

import java.io.IOException;

/**
 * An upstream has ended an attempt without an answer that can be passed on.
 */
final class AttemptEndedException extends IOException {

	private static final long serialVersionUID = 1L;

	private final transient AttemptResult result;

	AttemptEndedException(AttemptResult result) {
		super(result.toString());
		this.result = result;
	}

	/**
	 * How the attempt ended.
	 */
	AttemptResult result() {
		return this.result;
	}

}
