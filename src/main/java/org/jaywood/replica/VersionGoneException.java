package org.jaywood.replica;

import java.io.IOException;

/**
 * The origin has dropped a version for good. Unlike other failures it does not pass, so
 * the version is not asked for again.
 */
public final class VersionGoneException extends IOException {

	private static final long serialVersionUID = 1L;

	public VersionGoneException(String message) {
		super(message);
	}

}
