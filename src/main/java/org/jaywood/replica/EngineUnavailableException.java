package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

/**
 * The engine of this agent did not answer, or refused an operation.
 */
public final class EngineUnavailableException extends Exception {

	private static final long serialVersionUID = 1L;

	public EngineUnavailableException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
