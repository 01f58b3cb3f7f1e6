package org.jaywood.router;

import org.jspecify.annotations.Nullable;

/**
 * Validated call of a caller.
 *
 * @param requestId id of the call on every hop
 * @param service service called
 * @param workspace workspace of the caller, empty if not named
 * @param priority 0 (highest) to 9
 * @param body complete body
 * @param target method and path at a plain service, or null for a model call
 * @param retryable whether the call may run more than once
 * @param affinity calls with the same value prefer the same upstream
 * @param deadlineMillis time at which the call must have ended, on the clock of the
 * router
 */
record Call(String requestId, String service, String workspace, int priority, byte[] body, @Nullable Target target,
		boolean retryable, String affinity, long deadlineMillis) {

	boolean model() {
		return this.target == null;
	}

	long remainingMillis(long nowMillis) {
		return this.deadlineMillis - nowMillis;
	}

	/**
	 * Method and path of a call to a plain service.
	 */
	record Target(String method, String path) {
	}

}
