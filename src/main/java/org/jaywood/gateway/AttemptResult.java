package org.jaywood.gateway;

import org.jaywood.routing.Outcome;

/**
 * How one attempt of a call ended.
 */
sealed interface AttemptResult {

	/**
	 * The whole response has been forwarded to the caller.
	 *
	 * @param status status of the response
	 */
	record Delivered(int status) implements AttemptResult {
	}

	/**
	 * The upstream responded that it failed. The response is kept, to be forwarded if no
	 * other attempt is answered.
	 *
	 * @param response the response
	 */
	record Failed(BufferedUpstreamResponse response) implements AttemptResult {
	}

	/**
	 * The upstream has not run the call and never will.
	 *
	 * @param outcome outcome that is reported for the upstream
	 * @param sent whether the upstream received the call
	 * @param reason cause, for the log
	 */
	record NotRun(Outcome outcome, boolean sent, String reason) implements AttemptResult {
	}

	/**
	 * The attempt failed after the upstream may have begun to run the call.
	 *
	 * @param reason cause, for the log
	 * @param outcome outcome that is reported for the upstream
	 */
	record Indeterminate(String reason, Outcome outcome) implements AttemptResult {
	}

	/**
	 * Another attempt made progress before this one did.
	 */
	record Superseded() implements AttemptResult {
	}

	/**
	 * The connection to the caller ended.
	 */
	record CallerGone() implements AttemptResult {
	}

}
