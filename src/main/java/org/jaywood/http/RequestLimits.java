package org.jaywood.http;

/**
 * Limits on the size and time of a caller's requests.
 *
 * @param maxHeaderBytes size of request line and headers
 * @param maxBodyBytes size of a body
 * @param headTimeoutMillis time for the whole head of a request
 * @param idleTimeoutMillis time for which a connection may stay idle, and time for the
 * whole body of a request
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that apply until a configuration sets others. */
	public static final RequestLimits DEFAULTS = new RequestLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

}
