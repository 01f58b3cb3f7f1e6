package org.jaywood.feed;

import org.jspecify.annotations.Nullable;

/**
 * A store did not answer a read, or answered that it cannot. The read may be repeated.
 */
public class FeedException extends Exception {

	private static final long serialVersionUID = 1L;

	public FeedException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
