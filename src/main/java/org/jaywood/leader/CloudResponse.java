package org.jaywood.leader;

/**
 * Result of a call of a leader to the platform.
 */
public sealed interface CloudResponse {

	/**
	 * The platform has accepted the call.
	 */
	record Accepted() implements CloudResponse {
	}

	/**
	 * The platform has refused the call.
	 *
	 * @param status HTTP status
	 */
	record Refused(int status) implements CloudResponse {
	}

	/**
	 * There is no response, so the platform may have accepted the call or may do so
	 * later.
	 *
	 * @param reason why there is none
	 */
	record Unknown(String reason) implements CloudResponse {
	}

}
