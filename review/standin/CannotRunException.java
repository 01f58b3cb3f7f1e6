package review;

/**
 * The case could not be played, so that it says nothing about the rule.
 */
final class CannotRunException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	CannotRunException(String message) {
		super(message);
	}

}
