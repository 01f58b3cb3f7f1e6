package org.jaywood.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import com.sun.net.httpserver.HttpExchange;
import org.jspecify.annotations.Nullable;

/**
 * One request at a {@link HttpPort} and its response. The response is either buffered or
 * streamed; a streamed response that cannot be finished must be {@link #abort aborted},
 * so that the client never takes an incomplete response for a complete one.
 */
public final class Exchange {

	private final HttpExchange http;

	private boolean responseStarted;

	Exchange(HttpExchange http) {
		this.http = http;
	}

	public String method() {
		return this.http.getRequestMethod();
	}

	public String path() {
		return this.http.getRequestURI().getPath();
	}

	/**
	 * Returns path and query as sent.
	 */
	public String target() {
		// Jetty returns an absolute URI, the JDK's server the target as sent.
		URI uri = this.http.getRequestURI();
		return (uri.getRawQuery() != null) ? uri.getRawPath() + "?" + uri.getRawQuery() : uri.getRawPath();
	}

	/**
	 * Returns the last segment of the path.
	 */
	public String lastSegment() {
		String path = path();
		return path.substring(path.lastIndexOf('/') + 1);
	}

	public Map<String, String> query() {
		String query = this.http.getRequestURI().getRawQuery();
		if (query == null) {
			return Map.of();
		}
		return Arrays.stream(query.split("&"))
			.map((pair) -> pair.split("=", 2))
			.filter((pair) -> pair.length == 2)
			.collect(Collectors.toMap((pair) -> pair[0], (pair) -> URLDecoder.decode(pair[1], StandardCharsets.UTF_8),
					(first, second) -> second));
	}

	public long queryLong(String name, long fallback) {
		String value = query().get(name);
		try {
			return (value != null) ? Long.parseLong(value) : fallback;
		}
		catch (NumberFormatException ex) {
			throw new BadInputException(400, "query parameter " + name + " is not a number: " + value);
		}
	}

	public @Nullable String header(String name) {
		return this.http.getRequestHeaders().getFirst(name);
	}

	public Optional<String> optionalHeader(String name) {
		return Optional.ofNullable(header(name));
	}

	public long headerLong(String name, long fallback) {
		String value = header(name);
		try {
			return (value != null) ? Long.parseLong(value.strip()) : fallback;
		}
		catch (NumberFormatException ex) {
			throw new BadInputException(400, "header " + name + " is not a number: " + value);
		}
	}

	/**
	 * Returns the size of the request line and headers in bytes, computed from their
	 * texts.
	 */
	public long headBytes() {
		return method().length() + target().length() + 12L + this.http.getRequestHeaders()
			.entrySet()
			.stream()
			.flatMap((
					header) -> header.getValue().stream().map((value) -> header.getKey().length() + value.length() + 4))
			.mapToInt(Integer::intValue)
			.sum();
	}

	/**
	 * Returns the IP address of the client.
	 */
	public String clientHost() {
		return this.http.getRemoteAddress().getAddress().getHostAddress();
	}

	/**
	 * Reads the request body.
	 * @param limitBytes largest accepted size
	 * @return the complete body
	 * @throws BadInputException with status 413 if the body is larger
	 * @throws IOException if the client closes the connection
	 */
	public byte[] readBody(int limitBytes) throws IOException {
		long declaredBytes = headerLong("Content-Length", 0);
		if (declaredBytes > limitBytes) {
			throw new BadInputException(413, "body of " + declaredBytes + " bytes exceeds " + limitBytes);
		}
		InputStream in = this.http.getRequestBody();
		byte[] body = in.readNBytes(limitBytes + 1);
		if (body.length > limitBytes) {
			throw new BadInputException(413, "body exceeds " + limitBytes + " bytes");
		}
		return body;
	}

	public <T> T readJson(Class<T> type, int limitBytes) throws IOException {
		return Json.read(readBody(limitBytes), type);
	}

	public void setHeader(String name, String value) {
		this.http.getResponseHeaders().set(name, value);
	}

	public void respond(int status, String contentType, byte[] body) throws IOException {
		this.responseStarted = true;
		setHeader("Content-Type", contentType);
		boolean empty = body.length == 0 || method().equals("HEAD");
		this.http.sendResponseHeaders(status, empty ? -1 : body.length);
		if (!empty) {
			this.http.getResponseBody().write(body);
		}
		this.http.close();
	}

	public void respondJson(int status, Object value) throws IOException {
		respond(status, "application/json", Json.bytes(value));
	}

	public void respondError(int status, String message) throws IOException {
		respondJson(status, Map.of("error", message));
	}

	/**
	 * Starts a streamed response. The caller closes the stream only after it has written
	 * the end marker, and otherwise calls {@link #abort}.
	 * @param status the HTTP status
	 * @param contentType media type
	 * @return stream of the chunked body
	 * @throws IOException if the client has closed the connection
	 */
	public OutputStream stream(int status, String contentType) throws IOException {
		this.responseStarted = true;
		setHeader("Content-Type", contentType);
		this.http.sendResponseHeaders(status, 0);
		return this.http.getResponseBody();
	}

	/**
	 * Cuts the connection without the final chunk.
	 * @return never returns normally; declared so that callers can write
	 * {@code throw exchange.abort(...)}
	 */
	public RuntimeException abort(String reason) {
		return new AbortedExchangeException(reason);
	}

	boolean responseStarted() {
		return this.responseStarted;
	}

	HttpExchange http() {
		return this.http;
	}

}
