package org.jaywood.wire;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import javax.net.ssl.SSLSession;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;

/**
 * Response to a request of {@link WireClient}.
 *
 * @param request the request
 * @param statusCode the status
 * @param headers the headers
 * @param body the body
 * @param <T> type of the body
 */
record WireResponse<T>(HttpRequest request, int statusCode, HttpHeaders headers, T body) implements HttpResponse<T> {

	/**
	 * Creates a response from its head.
	 */
	static <T> WireResponse<T> of(HttpRequest request, ClassicHttpResponse head, T body) {
		Map<String, List<String>> valuesByName = Arrays.stream(head.getHeaders())
			.collect(Collectors.groupingBy(Header::getName, () -> new TreeMap<>(String.CASE_INSENSITIVE_ORDER),
					Collectors.mapping((header) -> String.valueOf(header.getValue()), Collectors.toList())));
		return new WireResponse<>(request, head.getCode(), HttpHeaders.of(valuesByName, (name, value) -> true), body);
	}

	/**
	 * Returns this response with its body in another form.
	 */
	<B> WireResponse<B> withBody(B other) {
		return new WireResponse<>(this.request, this.statusCode, this.headers, other);
	}

	@Override
	public Optional<HttpResponse<T>> previousResponse() {
		return Optional.empty();
	}

	@Override
	public Optional<SSLSession> sslSession() {
		return Optional.empty();
	}

	@Override
	public URI uri() {
		return this.request.uri();
	}

	@Override
	public HttpClient.Version version() {
		return HttpClient.Version.HTTP_1_1;
	}

}
