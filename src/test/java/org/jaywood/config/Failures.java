package org.jaywood.config;

import java.util.concurrent.Callable;

/**
 * Catches expected failures for assertions on them.
 */
final class Failures {

	private Failures() {
	}

	/**
	 * Runs code that must fail.
	 * @param type expected type of the failure
	 * @param code the code
	 * @return the failure
	 */
	static <T extends Exception> T thrown(Class<T> type, Callable<?> code) {
		Object result;
		try {
			result = code.call();
		}
		catch (Exception ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionError("expected " + type.getSimpleName() + " but was " + ex, ex);
		}
		throw new AssertionError("expected " + type.getSimpleName() + " but the code returned " + result);
	}

}
