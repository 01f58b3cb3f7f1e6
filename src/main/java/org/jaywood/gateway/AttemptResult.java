package org.jaywood.gateway;

import org.jaywood.routing.Outcome;

/**
 * How one hand-over of a call to an upstream ended.
 */
sealed interface AttemptResult {

	/**
	 * The caller has the whole answer, or all of it that it took.
	 *
	 * @param status status of the answer
	 */
	record Delivered(int status) implements AttemptResult {
	}

	/**
	 * The upstream answered that it failed. The answer is kept for the caller.
	 *
	 * @param response the answer
	 */
	record Failed(BufferedUpstreamResponse response) implements AttemptResult {
	}

	/**
	 * The upstream has not run the call and never will.
	 *
	 * @param outcome what that tells about the upstream
	 * @param sent whether the upstream received the call
	 * @param reason why
	 */
	record NotRun(Outcome outcome, boolean sent, String reason) implements AttemptResult {
	}

	/**
	 * The hand-over broke after the upstream may have begun.
	 *
	 * @param reason what broke
	 * @param outcome what that tells about the upstream
	 */
	record Indeterminate(String reason, Outcome outcome) implements AttemptResult {
	}

	/**
	 * Another upstream answered, or the silent one went on, before this one did.
	 */
	record Superseded() implements AttemptResult {
	}

	/**
	 * The caller is gone.
	 */
	record CallerGone() implements AttemptResult {
	}

}
