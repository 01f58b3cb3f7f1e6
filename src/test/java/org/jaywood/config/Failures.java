package org.jaywood.config;

import java.util.concurrent.Callable;

/**
 * Test helper that returns expected exceptions for assertions.
 */
final class Failures {

	private Failures() {
	}

	/**
	 * Runs code that must throw an exception.
	 * @param type expected type of the exception
	 * @param code the code
	 * @return the exception
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
