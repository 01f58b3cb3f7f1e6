package org.jaywood.gateway;

import java.util.Arrays;
import java.util.Locale;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * The head with which a call is sent to an upstream: that of its caller, without headers
 * that concern the caller's connection or its key, and with what the gateway adds.
 */
final class UpstreamRequest {

	private UpstreamRequest() {
	}

	static ClassicHttpRequest of(Call call, CallProtocol protocol, AttemptHeaders head) {
		ClassicHttpRequest original = call.request().head();
		ClassicHttpRequest request = new BasicClassicHttpRequest(original.getMethod(), original.getRequestUri());
		Header connection = original.getFirstHeader(HttpHeaders.CONNECTION);
		String named = (connection != null) ? connection.getValue().toLowerCase(Locale.ROOT) : "";
		for (Header header : original.getHeaders()) {
			String name = header.getName();
			boolean hop = CallerResponse.isHopByHop(name)
					|| (!named.isEmpty() && isListed(named, name.toLowerCase(Locale.ROOT)));
			if (!hop && !name.equalsIgnoreCase(HttpHeaders.EXPECT) && protocol.forwards(name, call.keysRequired())) {
				request.addHeader(header);
			}
		}
		protocol.write(request, head);
		return request;
	}

	private static boolean isListed(String list, String name) {
		return Arrays.stream(list.split(",")).map(String::strip).anyMatch(name::equals);
	}

}
