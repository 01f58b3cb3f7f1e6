package org.jaywood.wire;

/**
 * Thrown for input that violates a limit or a format. Carries the HTTP status of the
 * response.
 */
public class BadInputException extends WireException {

	private final int status;

	public BadInputException(int status, String message) {
		super(message);
		this.status = status;
	}

	public int status() {
		return this.status;
	}

}
