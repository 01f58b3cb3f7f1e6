package org.jaywood.http;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes size of request line and headers
 * @param maxBodyBytes size of a body
 * @param headTimeoutMillis longest silence while a request arrives
 * @param idleTimeoutMillis time for which a connection may stay idle
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

	/** Limits until a configuration states others. */
	public static final RequestLimits DEFAULTS = new RequestLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);

}
