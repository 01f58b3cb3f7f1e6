package org.jaywood.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.URI;
import java.net.UnknownHostException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * HTTP client of a process. Requests block the calling (virtual) thread. Each request
 * carries common headers and each response is passed to an observer, so that the
 * configuration spreads with ordinary traffic.
 */
public final class WireClient {

	static {
		// The pool must drop idle connections before the servers do (60 s).
		if (System.getProperty("jdk.httpclient.keepalive.timeout") == null) {
			System.setProperty("jdk.httpclient.keepalive.timeout", "20");
		}
		// Only the router decides on a retry; one by the client would be another attempt.
		if (System.getProperty("jdk.httpclient.disableRetryConnect") == null) {
			System.setProperty("jdk.httpclient.disableRetryConnect", "true");
		}
	}

	/** Largest message between processes, and largest chunk of weights. */
	public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

	private static final int MAX_STATUS = 599;

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private final HttpClient http;

	private final @Nullable Credential credential;

	private final Supplier<Map<String, String>> commonHeaders;

	private final Consumer<HttpResponse<?>> responseObserver;

	/**
	 * Creates a client.
	 * @param bindHost local IP address of outgoing connections, or null for any
	 * @param credential credential sent with each request, or null
	 * @param commonHeaders headers sent with each request
	 * @param observer called with each response
	 */
	public WireClient(@Nullable String bindHost, @Nullable Credential credential,
			Supplier<Map<String, String>> commonHeaders, Consumer<HttpResponse<?>> observer) {
		HttpClient.Builder builder = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(CONNECT_TIMEOUT)
			.executor(Executors.newVirtualThreadPerTaskExecutor());
		if (bindHost != null) {
			builder.localAddress(inetAddress(bindHost));
		}
		this.http = builder.build();
		this.credential = credential;
		this.commonHeaders = commonHeaders;
		this.responseObserver = observer;
	}

	/**
	 * Creates a client without common headers, for the platform, engines and tools.
	 */
	public static WireClient plain(@Nullable String bindHost) {
		return new WireClient(bindHost, null, Map::of, (response) -> {
		});
	}

	public HttpRequest.Builder request(URI uri, Duration timeout) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(uri).timeout(timeout);
		if (this.credential != null) {
			builder.setHeader(Headers.CREDENTIAL, this.credential.outgoingValue());
		}
		this.commonHeaders.get().forEach(builder::setHeader);
		return builder;
	}

	/**
	 * Sends a request for a message of at most {@link #MAX_MESSAGE_BYTES}.
	 */
	public HttpResponse<byte[]> get(URI uri, Duration timeout) throws IOException, InterruptedException {
		return send(request(uri, timeout).GET().build(), MAX_MESSAGE_BYTES);
	}

	/**
	 * Sends a message; the response has at most {@link #MAX_MESSAGE_BYTES}.
	 */
	public HttpResponse<byte[]> post(URI uri, Object json, Duration timeout) throws IOException, InterruptedException {
		return send(request(uri, timeout).setHeader("Content-Type", "application/json")
			.POST(BodyPublishers.ofByteArray(Json.bytes(json)))
			.build(), MAX_MESSAGE_BYTES);
	}

	/**
	 * Sends a request for a message of at most {@link #MAX_MESSAGE_BYTES}.
	 */
	public HttpResponse<byte[]> send(HttpRequest request) throws IOException, InterruptedException {
		return send(request, MAX_MESSAGE_BYTES);
	}

	/**
	 * Sends a request and reads the whole response.
	 * @param maxBodyBytes largest body of the response
	 * @throws IOException if no whole response arrives, or its body is larger
	 */
	public HttpResponse<byte[]> send(HttpRequest request, int maxBodyBytes) throws IOException, InterruptedException {
		HttpResponse<byte[]> response = exchange(request,
				BodyHandlers.limiting(BodyHandlers.ofByteArray(), maxBodyBytes));
		this.responseObserver.accept(response);
		return response;
	}

	/**
	 * Sends a request whose response is streamed. Closing the stream before its end
	 * closes the connection.
	 */
	public HttpResponse<InputStream> stream(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<InputStream> response = exchange(request, BodyHandlers.ofInputStream());
		this.responseObserver.accept(response);
		return response;
	}

	/**
	 * Sends a request. A response whose status is none counts as no response, and its
	 * connection is closed; the JDK's client passes on any status from 200 to 999.
	 */
	private <T> HttpResponse<T> exchange(HttpRequest request, BodyHandler<T> handler)
			throws IOException, InterruptedException {
		try {
			return this.http.send(request, (info) -> {
				if (info.statusCode() > MAX_STATUS) {
					throw new UncheckedIOException(new ProtocolException("invalid status " + info.statusCode()));
				}
				return handler.apply(info);
			});
		}
		catch (UncheckedIOException ex) {
			throw ex.getCause();
		}
	}

	private static InetAddress inetAddress(String host) {
		try {
			return InetAddress.getByName(host);
		}
		catch (UnknownHostException ex) {
			throw new WireException("not an IP address: " + host, ex);
		}
	}

}
