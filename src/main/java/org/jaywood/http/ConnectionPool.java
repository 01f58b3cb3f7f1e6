package org.jaywood.http;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * Idle connections by address, the one that was used last first.
 */
public final class ConnectionPool implements AutoCloseable {

	/** Idle connections kept for an address. */
	private static final int MAX_IDLE = 64;

	/** Time for opening a connection of our own calls. */
	private static final long CONNECT_MILLIS = 400;

	/** Largest answer to a call of our own. */
	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	/** Least time for the body of an answer to a call of our own. */
	private static final long BODY_MILLIS = 10_000;

	/** A connection that was used a moment ago is not examined before its next use. */
	private static final long TRUSTED_IDLE_MILLIS = 20;

	private final Map<Address, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

	private final AtomicLong opened = new AtomicLong();

	/**
	 * Takes an idle connection or opens one.
	 * @param address the other process
	 * @param connectMillis time for opening
	 * @return a connection without bytes that belong to an earlier exchange
	 * @throws ConnectionException if none can be opened
	 */
	public ClientConnection acquire(Address address, long connectMillis) throws ConnectionException {
		return acquire(address, connectMillis, ConnectionPool::usable);
	}

	/**
	 * Takes an idle connection on which the other side has not refused this exchange
	 * before, or opens one.
	 * @param address the other process
	 * @param exchangeId id that the answer will bear
	 * @param connectMillis time for opening
	 * @return a connection without bytes that belong to an earlier exchange
	 * @throws ConnectionException if none can be opened
	 */
	public ClientConnection acquire(Address address, String exchangeId, long connectMillis) throws ConnectionException {
		return acquire(address, connectMillis, (connection) -> !connection.refused(exchangeId) && usable(connection));
	}

	private ClientConnection acquire(Address address, long connectMillis, Predicate<ClientConnection> check)
			throws ConnectionException {
		ClientConnection kept = takeIdle(address, check);
		if (kept != null) {
			return kept;
		}
		this.opened.incrementAndGet();
		return ClientConnection.open(address, connectMillis);
	}

	/**
	 * Takes back a connection whose answer has been read to its end.
	 */
	public void release(ClientConnection connection) {
		if (!connection.finish(System.nanoTime())) {
			connection.close();
			return;
		}
		Deque<ClientConnection> stack = this.idle.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>());
		ClientConnection surplus = null;
		synchronized (stack) {
			stack.push(connection);
			surplus = (stack.size() > MAX_IDLE) ? stack.pollLast() : null;
		}
		if (surplus != null) {
			surplus.close();
		}
	}

	/**
	 * Sends a request of our own and reads its answer whole. It is never repeated here.
	 * @param address the other process
	 * @param request request line and headers; the host is added
	 * @param body body of the request, possibly empty
	 * @param answerMillis time for the head of the answer
	 * @throws IOException if no whole answer arrives
	 */
	public BufferedResponse exchange(Address address, ClassicHttpRequest request, byte[] body, long answerMillis)
			throws IOException {
		return exchange(acquire(address, CONNECT_MILLIS), request, body, answerMillis);
	}

	/**
	 * Sends a frequent request without a body that may be repeated. A kept connection is
	 * used without a wait that shows whether the other side has closed it; if it has, the
	 * request is sent once more on a new one.
	 * @param address the other process
	 * @param request request line and headers; the host is added
	 * @param answerMillis time for the head of the answer
	 * @throws IOException if no whole answer arrives
	 */
	public BufferedResponse exchangeWithRetry(Address address, ClassicHttpRequest request, long answerMillis)
			throws IOException {
		byte[] body = new byte[0];
		ClientConnection kept = takeIdle(address, ConnectionPool::unread);
		if (kept != null) {
			try {
				return exchange(kept, request, body, answerMillis);
			}
			catch (ConnectionException ex) {
				if (ex.getCause() instanceof SocketTimeoutException) {
					throw ex;
				}
			}
		}
		this.opened.incrementAndGet();
		return exchange(ClientConnection.open(address, CONNECT_MILLIS), request, body, answerMillis);
	}

	private BufferedResponse exchange(ClientConnection connection, ClassicHttpRequest request, byte[] body,
			long answerMillis) throws IOException {
		Address address = connection.address();
		boolean whole = false;
		try {
			request.setHeader(HttpHeaders.HOST, address.toString());
			connection.send(request, body);
			StreamedResponse answer = connection.receive(answerMillis);
			connection.setReadDeadline(Math.max(answerMillis, BODY_MILLIS));
			byte[] bytes = Framing.readBounded(answer.body(), MAX_BODY_BYTES);
			if (bytes == null) {
				throw new IOException("the answer of " + address + " exceeds " + MAX_BODY_BYTES + " bytes");
			}
			whole = true;
			return new BufferedResponse(answer.status(), bytes);
		}
		finally {
			if (whole) {
				release(connection);
			}
			else {
				connection.close();
			}
		}
	}

	/**
	 * Closes the idle connections to an address.
	 */
	public void closeIdle(Address address) {
		Deque<ClientConnection> stack = this.idle.remove(address);
		if (stack != null) {
			synchronized (stack) {
				stack.forEach(ClientConnection::close);
				stack.clear();
			}
		}
	}

	/**
	 * Number of connections opened so far.
	 */
	public long opened() {
		return this.opened.get();
	}

	@Override
	public void close() {
		this.idle.keySet().forEach(this::closeIdle);
	}

	private @Nullable ClientConnection takeIdle(Address address, Predicate<ClientConnection> check) {
		Deque<ClientConnection> stack = this.idle.get(address);
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
				return connection;
			}
			connection.close();
		}
	}

	/**
	 * A check without a wait, for requests that are repeated if the other side has closed
	 * the connection.
	 */
	private static boolean unread(ClientConnection connection) {
		return connection.withinKeepAlive(System.nanoTime()) && connection.hasNoUnreadBytes();
	}

	private static boolean usable(ClientConnection connection) {
		long nowNanos = System.nanoTime();
		if (!connection.withinKeepAlive(nowNanos)) {
			return false;
		}
		return connection.idleFor(nowNanos) < TimeUnit.MILLISECONDS.toNanos(TRUSTED_IDLE_MILLIS)
				|| connection.verifiedIdle();
	}

}
