package org.jaywood.http;

/**
 * Limits on the response to a request of this process.
 *
 * @param headTimeoutMillis time for the head of the response
 * @param maxBodyBytes largest body
 * @param maxPauseMillis longest time within the body in which no byte arrives
 */
public record ResponseLimits(long headTimeoutMillis, int maxBodyBytes, long maxPauseMillis) {

	/**
	 * Creates limits with one time for the whole body only.
	 */
	public ResponseLimits(long headTimeoutMillis, int maxBodyBytes) {
		this(headTimeoutMillis, maxBodyBytes, Long.MAX_VALUE);
	}

}
