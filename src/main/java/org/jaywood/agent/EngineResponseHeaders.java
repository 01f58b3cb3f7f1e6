package org.jaywood.agent;

import java.net.http.HttpResponse;

/**
 * What an engine reports in the head of each response to a call.
 *
 * @param instance instance that accepted the call, empty if not reported
 * @param warm whether it was warm at that time
 * @param weights digest of the weights that it serves, empty if not reported
 */
record EngineResponseHeaders(String instance, boolean warm, String weights) {

	static EngineResponseHeaders of(HttpResponse<?> response) {
		return new EngineResponseHeaders(header(response, "Engine-Instance"),
				header(response, "Engine-State").equals("warm"), header(response, "Engine-Weights"));
	}

	private static String header(HttpResponse<?> response, String name) {
		return response.headers().firstValue(name).orElse("");
	}

}
