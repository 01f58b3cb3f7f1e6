package org.jaywood.gateway;

/**
 * Final answer of the gateway itself to a call that no upstream answered.
 */
sealed interface CallFailure {

	/**
	 * The call has not run and never will.
	 *
	 * @param reason why, for the log and the caller
	 * @param retryAfterMillis time after which it may be served
	 */
	record NotRun(String reason, long retryAfterMillis) implements CallFailure {
	}

	/**
	 * Whether the call has run is not known.
	 *
	 * @param reason what broke
	 * @param timedOut whether the time of the call has run out
	 */
	record Indeterminate(String reason, boolean timedOut) implements CallFailure {
	}

	/**
	 * The call is not allowed, or not well-formed.
	 *
	 * @param status status that tells why
	 * @param reason why
	 */
	record ClientError(int status, String reason) implements CallFailure {
	}

}
