package org.jaywood.gateway;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Names that callers and upstreams use for what a gateway has to know.
 */
public interface CallProtocol {

	/**
	 * Reads the head of a call.
	 */
	CallHead read(ClassicHttpRequest request);

	/**
	 * Whether a header of the caller goes on to the upstream unchanged.
	 * @param name name of the header
	 * @param keysRequired whether the header that carries keys is the gateway's own
	 */
	boolean forwards(String name, boolean keysRequired);

	/**
	 * Adds the gateway's own headers to a call.
	 */
	void write(ClassicHttpRequest request, AttemptHeaders head);

	/**
	 * Reads the head of an answer.
	 */
	ResponseHead read(ClassicHttpResponse response);

	/**
	 * Tells a refused caller when to come back.
	 */
	void writeRetryAfter(ClassicHttpResponse response, long millis);

}
