package org.jaywood.feed;

import org.jspecify.annotations.Nullable;

/**
 * A store did not answer a read, or refused it. The read may be retried.
 */
public class FeedException extends Exception {

	private static final long serialVersionUID = 1L;

	public FeedException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
