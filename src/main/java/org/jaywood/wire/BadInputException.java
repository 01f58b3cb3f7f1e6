package org.jaywood.wire;

/**
 * Input that violates a limit or a format. Carries the HTTP status to answer with.
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
