package org.jaywood.agent;

/**
 * Thrown if a request to an engine fails.
 */
public class EngineException extends RuntimeException {

	public EngineException(String message) {
		super(message);
	}

	public EngineException(String message, Throwable cause) {
		super(message, cause);
	}

}
