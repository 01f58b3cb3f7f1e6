package org.jaywood.gateway;

/**
 * Final response of the gateway itself to a call that no upstream answered.
 */
sealed interface CallFailure {

	/**
	 * The call has not run and never will.
	 *
	 * @param reason cause, for the log and the caller
	 * @param retryAfterMillis time after which the caller may retry
	 */
	record NotRun(String reason, long retryAfterMillis) implements CallFailure {
	}

	/**
	 * It is not known whether the call has run.
	 *
	 * @param reason cause, for the log and the caller
	 * @param timedOut whether the deadline of the call has passed
	 */
	record Indeterminate(String reason, boolean timedOut) implements CallFailure {
	}

	/**
	 * The call is not allowed, or not well-formed.
	 *
	 * @param status HTTP status
	 * @param reason cause, for the log and the caller
	 */
	record ClientError(int status, String reason) implements CallFailure {
	}

}
