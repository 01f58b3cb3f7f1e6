package org.jaywood.router;

/**
 * Result of a call.
 */
sealed interface CallResult {

	/**
	 * The complete answer was delivered.
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

	/**
	 * Another request with the same key runs or has run the call.
	 */
	record InProgress() implements CallResult {
	}

	/**
	 * The key belongs to a call with another payload.
	 */
	record KeyReused() implements CallResult {
	}

	/**
	 * The call was answered before, but its answer was too large to store.
	 */
	record AnsweredNotKept() implements CallResult {
	}

}
