package org.jaywood.weights;

/**
 * Thrown when weights cannot be downloaded or stored.
 */
public class WeightException extends RuntimeException {

	public WeightException(String message) {
		super(message);
	}

	public WeightException(String message, Throwable cause) {
		super(message, cause);
	}

}
