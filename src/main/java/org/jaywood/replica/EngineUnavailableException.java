package org.jaywood.replica;

import org.jspecify.annotations.Nullable;

/**
 * The engine of this agent did not answer, or refused an operation.
 */
public final class EngineUnavailableException extends Exception {

	private static final long serialVersionUID = 1L;

	private final boolean ended;

	public EngineUnavailableException(String message, @Nullable Throwable cause) {
		this(message, cause, false);
	}

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause failure of the layer below, or null
	 * @param ended whether the process of the engine has ended
	 */
	public EngineUnavailableException(String message, @Nullable Throwable cause, boolean ended) {
		super(message, cause);
		this.ended = ended;
	}

	/**
	 * Whether the process of the engine has ended, so that it is not only silent.
	 */
	boolean ended() {
		return this.ended;
	}

}
