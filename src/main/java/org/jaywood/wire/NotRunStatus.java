package org.jaywood.wire;

import java.util.Set;

import org.apache.hc.core5.http.HttpStatus;

/**
 * Statuses that tell a caller that its call has not run and never will, so that it may
 * send the call again. Only a response that states this by itself may carry one of them
 * to a caller.
 */
public final class NotRunStatus {

	private static final Set<Integer> STATUSES = Set.of(HttpStatus.SC_REQUEST_TIMEOUT,
			HttpStatus.SC_MISDIRECTED_REQUEST, HttpStatus.SC_TOO_EARLY, HttpStatus.SC_TOO_MANY_REQUESTS,
			HttpStatus.SC_SERVICE_UNAVAILABLE);

	private NotRunStatus() {
	}

	/**
	 * Whether a caller takes a status as the statement that its call has not run.
	 */
	public static boolean matches(int status) {
		return STATUSES.contains(status);
	}

}
