package org.jaywood.gateway;

import java.util.Arrays;
import java.util.Locale;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Builds the request head of an attempt: that of the caller, without hop-by-hop headers
 * and the key, and with the headers that the gateway adds.
 */
final class UpstreamRequest {

	private UpstreamRequest() {
	}

	static ClassicHttpRequest of(Call call, CallProtocol protocol, AttemptHeaders headers) {
		ClassicHttpRequest original = call.request().head();
		ClassicHttpRequest request = new BasicClassicHttpRequest(original.getMethod(), original.getRequestUri());
		Header connection = original.getFirstHeader(HttpHeaders.CONNECTION);
		String connectionOptions = (connection != null) ? connection.getValue().toLowerCase(Locale.ROOT) : "";
		for (Header header : original.getHeaders()) {
			String name = header.getName();
			boolean hop = CallerResponse.isHopByHop(name)
					|| (!connectionOptions.isEmpty() && isListed(connectionOptions, name.toLowerCase(Locale.ROOT)));
			if (!hop && !name.equalsIgnoreCase(HttpHeaders.EXPECT) && protocol.forwards(name, call.keysRequired())) {
				request.addHeader(header);
			}
		}
		protocol.write(request, headers);
		return request;
	}

	private static boolean isListed(String list, String name) {
		return Arrays.stream(list.split(",")).map(String::strip).anyMatch(name::equals);
	}

}
