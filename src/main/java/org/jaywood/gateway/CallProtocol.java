package org.jaywood.gateway;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Maps the headers of callers and upstreams to the values that a gateway uses.
 */
public interface CallProtocol {

	/**
	 * Reads the head of a call.
	 */
	CallHead read(ClassicHttpRequest request);

	/**
	 * Whether a header of the caller is forwarded to the upstream unchanged.
	 * @param name name of the header
	 * @param keysRequired whether keys are in use, so that the header with the key is
	 * meant for the gateway only
	 */
	boolean forwards(String name, boolean keysRequired);

	/**
	 * Whether a header of an upstream's response is forwarded to the caller.
	 */
	boolean returns(String name);

	/**
	 * Adds the gateway's own headers to the request of an attempt.
	 */
	void write(ClassicHttpRequest request, AttemptHeaders headers);

	/**
	 * Reads the head of a response.
	 */
	ResponseHead read(ClassicHttpResponse response);

	/**
	 * Adds the time in milliseconds after which a refused caller may retry.
	 */
	void writeRetryAfter(ClassicHttpResponse response, long millis);

}
