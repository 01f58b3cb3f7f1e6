package org.jaywood.router;

import org.jspecify.annotations.Nullable;

/**
 * A caller's call, read and checked.
 *
 * @param requestId id of the call on every hop
 * @param service service called
 * @param workspace workspace of the caller, empty if not named
 * @param priority 0 (highest) to 9
 * @param body body, complete
 * @param target method and path at a plain service, or null for a model call
 * @param retryable whether running it twice does no harm
 * @param affinity calls with the same value prefer the same upstream
 * @param deadlineMillis end of the time allowed, on the clock of the router
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
	 * Request line at a plain service.
	 */
	record Target(String method, String path) {
	}

}
