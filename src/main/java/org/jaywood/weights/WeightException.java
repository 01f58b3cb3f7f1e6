package org.jaywood.weights;

/**
 * Failure to obtain or to hold weights.
 */
public class WeightException extends RuntimeException {

	public WeightException(String message) {
		super(message);
	}

	public WeightException(String message, Throwable cause) {
		super(message, cause);
	}

}
