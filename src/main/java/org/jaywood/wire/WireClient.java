package org.jaywood.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.http.ClientConnection;
import org.jaywood.http.ConnectionException;
import org.jaywood.http.ConnectionOptions;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.StreamedResponse;

/**
 * HTTP client of a process. Requests block the calling (virtual) thread. Each request
 * carries common headers and each response is passed to an observer, so that the
 * configuration spreads with ordinary traffic. Requests and responses are those of the
 * JDK's API, sent over the connections of this project: the JDK's client drops lines of a
 * head that are no field, and with them the length of a body, and accepts malformed
 * lengths and chunks.
 */
public final class WireClient {

	/** Largest message between processes, and largest chunk of weights. */
	public static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

	private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

	/** Less than the servers of this project keep idle connections (60 s). */
	private static final long KEEP_ALIVE_MILLIS = 20_000;

	/** Interval at which connections that are idle for too long are closed. */
	private static final long EXPIRY_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time for the head of a response to a request that names none. */
	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

	/** Least time for the body of a response that is read whole. */
	private static final long MIN_BODY_TIMEOUT_MILLIS = 10_000;

	private final ConnectionPool pool;

	/** Time of the last check for idle connections, of the monotonic clock. */
	private final AtomicLong expiryCheckedNanos = new AtomicLong(System.nanoTime());

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
		this.pool = new ConnectionPool(new ConnectionOptions(bindHost, KEEP_ALIVE_MILLIS));
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
		HttpResponse<byte[]> response = interruptibly(() -> receiveWhole(request, maxBodyBytes));
		this.responseObserver.accept(response);
		return response;
	}

	/**
	 * Sends a request whose response is streamed. Closing the stream before its end
	 * closes the connection.
	 */
	public HttpResponse<InputStream> stream(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<InputStream> response = interruptibly(() -> receiveStream(request));
		this.responseObserver.accept(response);
		return response;
	}

	private HttpResponse<byte[]> receiveWhole(HttpRequest request, int maxBodyBytes) throws IOException {
		long bodyMillis = Math.max(timeoutMillis(request), MIN_BODY_TIMEOUT_MILLIS);
		WireResponse<PooledBody> response = exchange(request);
		try (PooledBody body = response.body()) {
			body.setReadDeadline(bodyMillis);
			byte[] bytes = body.readNBytes(maxBodyBytes + 1);
			if (bytes.length > maxBodyBytes) {
				throw new IOException("the response of " + request.uri() + " exceeds " + maxBodyBytes + " bytes");
			}
			return response.withBody(bytes);
		}
	}

	private HttpResponse<InputStream> receiveStream(HttpRequest request) throws IOException {
		WireResponse<PooledBody> response = exchange(request);
		response.body().setReadDeadline(Long.MAX_VALUE);
		return response.withBody(response.body());
	}

	/**
	 * Sends a request and waits for the head of its response, both within the time of the
	 * request. The request is never repeated here.
	 */
	private WireResponse<PooledBody> exchange(HttpRequest request) throws IOException {
		closeExpired(System.nanoTime());
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis(request));
		Address address = new Address(request.uri().getHost(), request.uri().getPort());
		ClientConnection connection = this.pool.acquire(address,
				Math.min(CONNECT_TIMEOUT_MILLIS, timeoutMillis(request)));
		boolean received = false;
		try {
			connection.send(WireRequest.head(request), WireRequest.body(request), leftMillis(deadlineNanos));
			StreamedResponse response = connection.receive(leftMillis(deadlineNanos));
			received = true;
			return WireResponse.of(request, response.head(), new PooledBody(response.body(), connection, this.pool));
		}
		finally {
			if (!received) {
				connection.close();
			}
		}
	}

	private void closeExpired(long nowNanos) {
		long checkedNanos = this.expiryCheckedNanos.get();
		if (nowNanos - checkedNanos >= EXPIRY_CHECK_NANOS
				&& this.expiryCheckedNanos.compareAndSet(checkedNanos, nowNanos)) {
			this.pool.closeExpired(nowNanos);
		}
	}

	private static long timeoutMillis(HttpRequest request) {
		return request.timeout().orElse(DEFAULT_TIMEOUT).toMillis();
	}

	private static long leftMillis(long deadlineNanos) {
		return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
	}

	/**
	 * Runs an exchange. An interrupt of a virtual thread closes the socket that it reads.
	 */
	private static <T> T interruptibly(WireExchange<T> exchange) throws IOException, InterruptedException {
		if (Thread.interrupted()) {
			throw new InterruptedException();
		}
		try {
			return exchange.run();
		}
		catch (IOException ex) {
			if (Thread.interrupted()) {
				throw new InterruptedException(ex.getMessage());
			}
			throw (ex instanceof ConnectionException failure) ? classified(failure) : ex;
		}
	}

	/**
	 * Returns a failure of a connection as the one of the JDK's client that its callers
	 * tell apart: no connection, no response in time, or another one.
	 */
	private static IOException classified(ConnectionException failure) {
		boolean timedOut = failure.getCause() instanceof SocketTimeoutException;
		String message = String.valueOf(failure.getMessage());
		IOException classified = failure;
		if (!failure.requestSent()) {
			classified = timedOut ? new HttpConnectTimeoutException(message) : new ConnectException(message);
		}
		else if (timedOut) {
			classified = new HttpTimeoutException(message);
		}
		if (classified != failure) {
			classified.initCause(failure);
		}
		return classified;
	}

	/**
	 * Exchange of a request and its response.
	 *
	 * @param <T> type of the response
	 */
	private interface WireExchange<T> {

		T run() throws IOException;

	}

}
