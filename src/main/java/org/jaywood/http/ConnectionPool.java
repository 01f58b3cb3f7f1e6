package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.MemoryBudget;

/**
 * Pool of idle connections by address; the most recently used one is taken first.
 */
public final class ConnectionPool implements AutoCloseable {

	/** Idle connections kept per address. */
	private static final int MAX_IDLE_PER_ADDRESS = 64;

	/** Time for opening a connection for a request of this process. */
	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	/** Least time for the body of a response to a request of this process. */
	private static final long MIN_BODY_TIMEOUT_MILLIS = 10_000;

	/** Idle time below which a connection is reused without a check for its state. */
	private static final long MAX_UNCHECKED_IDLE_MILLIS = 20;

	private final Map<Address, Deque<ClientConnection>> idleByAddress = new ConcurrentHashMap<>();

	private final AtomicLong opened = new AtomicLong();

	private final ConnectionOptions options;

	private final @Nullable MemoryBudget memory;

	public ConnectionPool() {
		this(ConnectionOptions.DEFAULT);
	}

	public ConnectionPool(ConnectionOptions options) {
		this(options, null);
	}

	/**
	 * Creates a pool whose idle connections count in a memory budget. A connection for
	 * which it has no room is closed instead of kept.
	 */
	public ConnectionPool(MemoryBudget memory) {
		this(ConnectionOptions.DEFAULT, memory);
	}

	private ConnectionPool(ConnectionOptions options, @Nullable MemoryBudget memory) {
		this.options = options;
		this.memory = memory;
	}

	/**
	 * Takes an idle connection or opens one.
	 * @param address the other process
	 * @param connectTimeoutMillis time for opening
	 * @return a connection without bytes that belong to an earlier exchange
	 * @throws ConnectionException if none can be opened
	 */
	public ClientConnection acquire(Address address, long connectTimeoutMillis) throws ConnectionException {
		return acquire(address, connectTimeoutMillis, ConnectionPool::reusable);
	}

	/**
	 * Takes an idle connection on which the other side has not refused this exchange, or
	 * opens one.
	 * @param address the other process
	 * @param exchangeId id that the response will carry
	 * @param connectTimeoutMillis time for opening
	 * @return a connection without bytes that belong to an earlier exchange
	 * @throws ConnectionException if none can be opened
	 */
	public ClientConnection acquire(Address address, String exchangeId, long connectTimeoutMillis)
			throws ConnectionException {
		return acquire(address, connectTimeoutMillis,
				(connection) -> !connection.hasRefused(exchangeId) && reusable(connection));
	}

	private ClientConnection acquire(Address address, long connectTimeoutMillis, Predicate<ClientConnection> check)
			throws ConnectionException {
		ClientConnection idleConnection = takeIdle(address, check);
		if (idleConnection != null) {
			return idleConnection;
		}
		this.opened.incrementAndGet();
		return ClientConnection.open(address, this.options, connectTimeoutMillis);
	}

	/**
	 * Returns a connection to the pool after its response has been read completely;
	 * closes it if it cannot be reused or the pool is full.
	 */
	public void release(ClientConnection connection) {
		long nowNanos = System.nanoTime();
		if (!connection.finish(nowNanos) || (this.memory != null && !connection.tryRest(this.memory, nowNanos))) {
			connection.close();
			return;
		}
		Deque<ClientConnection> stack = this.idleByAddress.computeIfAbsent(connection.address(),
				(key) -> new ArrayDeque<>());
		ClientConnection surplus = null;
		synchronized (stack) {
			stack.push(connection);
			surplus = (stack.size() > MAX_IDLE_PER_ADDRESS) ? stack.pollLast() : null;
		}
		if (surplus != null) {
			surplus.close();
		}
	}

	/**
	 * Sends a request of this process and reads the whole response. The request is never
	 * repeated here.
	 * @param address the other process
	 * @param request request line and headers; the host is added
	 * @param body body of the request, possibly empty
	 * @throws IOException if no complete response within the limits arrives
	 */
	public BufferedResponse exchange(Address address, ClassicHttpRequest request, byte[] body, ResponseLimits limits)
			throws IOException {
		return exchange(acquire(address, CONNECT_TIMEOUT_MILLIS), request, body, limits);
	}

	/**
	 * Sends a request of this process if a condition holds right before it is sent, and
	 * reads the whole response. Without one the connection is reset, so that the request
	 * does not arrive later.
	 * @param address the other process
	 * @param request request line and headers; the host is added
	 * @param condition checked after a connection was obtained
	 * @return the response, or null if the condition did not hold
	 * @throws IOException if no complete response within the limits arrives
	 */
	public @Nullable BufferedResponse exchangeIf(Address address, ClassicHttpRequest request, byte[] body,
			ResponseLimits limits, BooleanSupplier condition) throws IOException {
		ClientConnection connection = acquire(address, CONNECT_TIMEOUT_MILLIS);
		if (!condition.getAsBoolean()) {
			connection.close();
			return null;
		}
		return exchange(connection, request, body, limits, ClientConnection::abort);
	}

	/**
	 * Sends a frequent request without a body that may be repeated. An idle connection is
	 * reused without waiting to see whether the other side has closed it; if it has, the
	 * request is sent once more on a new connection.
	 * @param address the other process
	 * @param request request line and headers; the host is added
	 * @throws IOException if no complete response within the limits arrives
	 */
	public BufferedResponse exchangeWithRetry(Address address, ClassicHttpRequest request, ResponseLimits limits)
			throws IOException {
		byte[] body = new byte[0];
		ClientConnection idleConnection = takeIdle(address, ConnectionPool::reusableWithoutWait);
		if (idleConnection != null) {
			try {
				return exchange(idleConnection, request, body, limits);
			}
			catch (ConnectionException ex) {
				if (ex.getCause() instanceof SocketTimeoutException) {
					throw ex;
				}
			}
		}
		this.opened.incrementAndGet();
		return exchange(ClientConnection.open(address, this.options, CONNECT_TIMEOUT_MILLIS), request, body, limits);
	}

	private BufferedResponse exchange(ClientConnection connection, ClassicHttpRequest request, byte[] body,
			ResponseLimits limits) throws IOException {
		return exchange(connection, request, body, limits, ClientConnection::close);
	}

	/**
	 * Sends a request and reads the whole response.
	 * @param onFailure ends the connection if no complete response arrives
	 */
	private BufferedResponse exchange(ClientConnection connection, ClassicHttpRequest request, byte[] body,
			ResponseLimits limits, Consumer<ClientConnection> onFailure) throws IOException {
		Address address = connection.address();
		boolean complete = false;
		try {
			request.setHeader(HttpHeaders.HOST, address.toString());
			connection.send(request, body);
			StreamedResponse response = connection.receive(limits.headTimeoutMillis());
			byte[] bytes = (response.length() <= limits.maxBodyBytes())
					? Framing.readBounded(timedBody(connection, response, limits), limits.maxBodyBytes()) : null;
			if (bytes == null) {
				throw new IOException("the response of " + address + " exceeds " + limits.maxBodyBytes() + " bytes");
			}
			complete = true;
			return new BufferedResponse(response.head(), bytes);
		}
		finally {
			if (complete) {
				release(connection);
			}
			else {
				onFailure.accept(connection);
			}
		}
	}

	/**
	 * Returns a body whose reads end at the time for the whole body or after a pause.
	 */
	private static InputStream timedBody(ClientConnection connection, StreamedResponse response,
			ResponseLimits limits) {
		long bodyMillis = Math.max(limits.headTimeoutMillis(), MIN_BODY_TIMEOUT_MILLIS);
		connection.setReadDeadline(bodyMillis);
		if (limits.maxPauseMillis() >= bodyMillis) {
			return response.body();
		}
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(bodyMillis);
		return new FilterInputStream(response.body()) {

			@Override
			public int read(byte[] bytes, int offset, int length) throws IOException {
				long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
				connection.setReadDeadline(Math.min(limits.maxPauseMillis(), leftMillis));
				return super.read(bytes, offset, length);
			}

		};
	}

	/**
	 * Closes the idle connections to an address.
	 */
	public void closeIdle(Address address) {
		Deque<ClientConnection> stack = this.idleByAddress.remove(address);
		if (stack != null) {
			synchronized (stack) {
				stack.forEach(ClientConnection::close);
				stack.clear();
			}
		}
	}

	/**
	 * Closes the idle connections that are kept for longer than their keep-alive time.
	 */
	public void closeExpired(long nowNanos) {
		this.idleByAddress.values().forEach((stack) -> {
			synchronized (stack) {
				List<ClientConnection> expired = stack.stream()
					.filter((connection) -> !connection.withinKeepAlive(nowNanos))
					.toList();
				expired.forEach(ClientConnection::close);
				stack.removeAll(expired);
			}
		});
	}

	/**
	 * Returns the number of connections opened so far.
	 */
	public long opened() {
		return this.opened.get();
	}

	@Override
	public void close() {
		this.idleByAddress.keySet().forEach(this::closeIdle);
	}

	private @Nullable ClientConnection takeIdle(Address address, Predicate<ClientConnection> check) {
		Deque<ClientConnection> stack = this.idleByAddress.get(address);
		if (stack == null) {
			return null;
		}
		while (true) {
			ClientConnection connection;
			synchronized (stack) {
				connection = stack.poll();
			}
			if (connection == null) {
				return null;
			}
			if (check.test(connection)) {
				connection.endRest();
				return connection;
			}
			connection.close();
		}
	}

	/**
	 * Checks a connection without waiting, for requests that are repeated if the other
	 * side has closed it.
	 */
	private static boolean reusableWithoutWait(ClientConnection connection) {
		return connection.withinKeepAlive(System.nanoTime()) && connection.hasNoUnreadBytes();
	}

	private static boolean reusable(ClientConnection connection) {
		long nowNanos = System.nanoTime();
		if (!connection.withinKeepAlive(nowNanos)) {
			return false;
		}
		return connection.idleNanos(nowNanos) < TimeUnit.MILLISECONDS.toNanos(MAX_UNCHECKED_IDLE_MILLIS)
				|| connection.checkIdle();
	}

}
