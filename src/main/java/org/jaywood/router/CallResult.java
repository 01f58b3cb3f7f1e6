package org.jaywood.router;

/**
 * What became of a call.
 */
sealed interface CallResult {

	/**
	 * The whole answer was delivered.
	 */
	record Answered() implements CallResult {
	}

	/**
	 * No upstream ran the call and none will.
	 */
	record NotRun(String reason, long retryAfterMillis) implements CallResult {
	}

	/**
	 * An upstream may have run the call.
	 */
	record Unknown(String reason) implements CallResult {
	}

}
