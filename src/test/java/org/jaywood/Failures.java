package org.jaywood;

import java.util.concurrent.Callable;

/**
 * Catches expected failures. The linter reserves JUnit's assertions, and Truth has none
 * for exceptions.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Runs code that must fail.
	 * @param type expected type of the failure
	 * @param code the code
	 * @return the failure
	 */
	public static <T extends Throwable> T thrownBy(Class<T> type, Callable<?> code) {
		try {
			code.call();
		}
		catch (Throwable ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionError("expected " + type.getName() + " but caught " + ex, ex);
		}
		throw new AssertionError("expected " + type.getName() + " but nothing was thrown");
	}

}
