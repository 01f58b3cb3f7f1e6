package org.jaywood.store;

/**
 * Failure of a platform service.
 */
public class PlatformException extends RuntimeException {

	private final Kind kind;

	public PlatformException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	public PlatformException(Kind kind, String message, Throwable cause) {
		super(message, cause);
		this.kind = kind;
	}

	public Kind kind() {
		return this.kind;
	}

	/**
	 * Kind of failure, and whether a write may have taken effect.
	 */
	public enum Kind {

		/** The condition of a write did not hold; nothing was written. */
		CONFLICT,

		/** The object does not exist. */
		NOT_FOUND,

		/**
		 * The platform refused the call, for example by its rate limit; nothing was
		 * written.
		 */
		REFUSED,

		/** No usable response; a write may have taken effect. */
		NO_ANSWER

	}

}
