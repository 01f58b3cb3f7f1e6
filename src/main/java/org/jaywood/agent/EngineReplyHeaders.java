package org.jaywood.agent;

import java.net.http.HttpResponse;

/**
 * What an engine reports in the head of each reply to a call.
 *
 * @param instance instance that took the call, empty if not named
 * @param warm whether it was warm then
 * @param weights digest of the weights that it serves, empty if not named
 */
record EngineReplyHeaders(String instance, boolean warm, String weights) {

	static EngineReplyHeaders of(HttpResponse<?> reply) {
		return new EngineReplyHeaders(header(reply, "Engine-Instance"), header(reply, "Engine-State").equals("warm"),
				header(reply, "Engine-Weights"));
	}

	private static String header(HttpResponse<?> reply, String name) {
		return reply.headers().firstValue(name).orElse("");
	}

}
