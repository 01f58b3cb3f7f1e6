package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestWriter;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.MemoryBudget;
import org.jaywood.wire.MemoryReservation;
import org.jaywood.wire.MemoryUse;

/**
 * Client connection to another process that carries one exchange at a time. Closing it
 * from any thread ends a blocked read or write. It never repeats a request by itself.
 */
public final class ClientConnection implements AutoCloseable {

	private static final int BUFFER_BYTES = 8 * 1024;

	/** Heap of a connection at rest: its socket, two buffers and that of a line. */
	static final int RESTING_BYTES = 3 * BUFFER_BYTES + 2 * 1024;

	/** Heads of the responses to one request together, and trailers of the last one. */
	private static final int MAX_HEAD_BYTES = 32 * 1024;

	private static final int MAX_HEADERS = 100;

	/** Time-out of the read that detects unread bytes or a closed connection. */
	private static final long STALE_CHECK_MILLIS = 1;

	/**
	 * Size up to which a body fits the socket buffers of any connection, so that its
	 * write needs no time-out.
	 */
	private static final int MAX_UNTIMED_BODY_BYTES = 4 * 1024;

	/** Interim (1xx) responses before one final response. */
	private static final int MAX_INTERIM_RESPONSES = 32;

	/** Ids of refused exchanges that are remembered. */
	private static final int MAX_REFUSED_IDS = 32;

	private static final Http1Config CONFIG = Http1Config.custom()
		.setMaxLineLength(MAX_HEAD_BYTES)
		.setMaxHeaderCount(MAX_HEADERS)
		.setMaxEmptyLineCount(1)
		.build();

	private final Address address;

	private final Socket socket;

	private final DeadlineInputStream in;

	private final OutputStream out;

	private ResponseInputBuffer inputBuffer = new ResponseInputBuffer(BUFFER_BYTES, MAX_HEAD_BYTES);

	private final SessionOutputBufferImpl outputBuffer = new SessionOutputBufferImpl(BUFFER_BYTES,
			StandardCharsets.ISO_8859_1.newEncoder());

	private final KeepAlive keepAlive;

	private boolean requestSent;

	/** Whether the request asks for the head of a response only. */
	private boolean headRequested;

	private long idleSinceNanos;

	private boolean used;

	private @Nullable DefaultHttpResponseParser parser;

	private int interimResponses;

	private final Deque<String> refusedExchangeIds = new ArrayDeque<>();

	/** Reservation of a connection at rest, or null while it is in use. */
	private volatile @Nullable MemoryReservation restingMemory;

	private ClientConnection(Address address, ConnectionOptions options, Socket socket) throws IOException {
		this.address = address;
		this.keepAlive = new KeepAlive(options.keepAliveMillis());
		this.socket = socket;
		this.in = new DeadlineInputStream(socket);
		this.out = socket.getOutputStream();
	}

	/**
	 * Opens a connection.
	 * @throws ConnectionException if the address cannot be reached within the time-out
	 */
	public static ClientConnection open(Address address, long timeoutMillis) throws ConnectionException {
		return open(address, ConnectionOptions.DEFAULT, timeoutMillis);
	}

	/**
	 * Opens a connection.
	 * @throws ConnectionException if the address cannot be reached within the time-out
	 */
	static ClientConnection open(Address address, ConnectionOptions options, long timeoutMillis)
			throws ConnectionException {
		String localHost = options.localHost();
		Socket socket = new Socket();
		try {
			SocketTuning.apply(socket);
			if (localHost != null) {
				socket.bind(new Address(localHost, 0).socketAddress());
			}
			socket.connect(address.socketAddress(), Math.toIntExact(Math.max(1, timeoutMillis)));
			return new ClientConnection(address, options, socket);
		}
		catch (IOException ex) {
			closeQuietly(socket);
			throw new ConnectionException("cannot connect to " + address + ": " + ex.getMessage(), false, ex);
		}
	}

	public Address address() {
		return this.address;
	}

	/**
	 * Whether an earlier exchange used this connection.
	 */
	public boolean used() {
		return this.used;
	}

	/**
	 * Records that the other side refused an exchange on this connection. It may send
	 * that refusal a second time, and the copy would be taken for the response to a later
	 * attempt with the same id.
	 */
	public void markRefused(String exchangeId) {
		this.refusedExchangeIds.add(exchangeId);
		if (this.refusedExchangeIds.size() > MAX_REFUSED_IDS) {
			this.refusedExchangeIds.poll();
		}
	}

	/**
	 * Whether the other side refused an exchange with this id on this connection; only
	 * the last 32 refusals are remembered.
	 */
	boolean hasRefused(String exchangeId) {
		return this.refusedExchangeIds.contains(exchangeId);
	}

	/**
	 * Sends a request; head and body go out in one write if they fit the buffer.
	 * @throws ConnectionException if not all of it could be written
	 */
	public void send(ClassicHttpRequest request, byte[] body) throws ConnectionException {
		this.requestSent = false;
		this.headRequested = request.getMethod().equals("HEAD");
		this.inputBuffer.startExchange();
		try {
			if (body.length > 0 || !request.getMethod().equals("GET")) {
				request.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
			}
			DefaultHttpRequestWriter writer = new DefaultHttpRequestWriter();
			this.requestSent = true;
			writer.write(request, this.outputBuffer, this.out);
			this.outputBuffer.write(body, 0, body.length, this.out);
			this.outputBuffer.flush(this.out);
		}
		catch (IOException | HttpException ex) {
			throw failure("cannot send to ", ex);
		}
	}

	/**
	 * Sends a request with a time-out. A blocking socket has no write time-out, so the
	 * connection is reset if the other side does not accept the request in time.
	 * @throws ConnectionException if not all of it could be written in time
	 */
	public void send(ClassicHttpRequest request, byte[] body, long timeoutMillis) throws ConnectionException {
		if (body.length <= MAX_UNTIMED_BODY_BYTES) {
			send(request, body);
			return;
		}
		Thread timeout = Thread.ofVirtual().start(() -> abortAfter(timeoutMillis));
		try {
			send(request, body);
		}
		finally {
			timeout.interrupt();
		}
	}

	private void abortAfter(long millis) {
		try {
			Thread.sleep(millis);
			abort();
		}
		catch (InterruptedException ex) {
			// The request has been written.
		}
	}

	/**
	 * Reads the head of the response to the last request. Interim responses are skipped.
	 * @param timeoutMillis time for the whole head, and for the body unless
	 * {@link #setReadDeadline} sets another one
	 * @throws ConnectionException if no well-formed head arrives in time
	 */
	public StreamedResponse receive(long timeoutMillis) throws ConnectionException {
		StreamedResponse response = receiveWithin(timeoutMillis);
		if (response == null) {
			throw failure("no response from ",
					new SocketTimeoutException("no complete head within " + timeoutMillis + " ms"));
		}
		return response;
	}

	/**
	 * Waits for the head of the response to the last request. Interim responses are
	 * skipped.
	 * @param timeoutMillis longest wait
	 * @return the response, or null if its head is not complete yet; the next call
	 * continues
	 * @throws ConnectionException if the head is malformed or the connection fails
	 */
	public @Nullable StreamedResponse receiveWithin(long timeoutMillis) throws ConnectionException {
		try {
			setReadDeadline(timeoutMillis);
			ClassicHttpResponse head = parseHead();
			while (head != null && head.getCode() < HttpStatus.SC_OK) {
				if (++this.interimResponses > MAX_INTERIM_RESPONSES) {
					throw new IOException("more than " + MAX_INTERIM_RESPONSES + " interim responses");
				}
				Framing.lengthOfResponse(head);
				head = parseHead();
			}
			if (head == null) {
				throw new IOException("connection closed before the response head");
			}
			this.parser = null;
			this.interimResponses = 0;
			this.inputBuffer.startBody();
			long statedLength = Framing.lengthOfResponse(head);
			long length = this.headRequested ? 0 : statedLength;
			this.keepAlive.onResponse(head, length);
			return new StreamedResponse(head, length, body(length));
		}
		catch (SocketTimeoutException ex) {
			return null;
		}
		catch (IOException | HttpException | IllegalArgumentException ex) {
			throw failure("cannot read a response head from ", ex);
		}
	}

	private InputStream body(long length) {
		InputStream body = Framing.body(length, this.inputBuffer, this.in, CONFIG);
		return (length == Framing.CHUNKED) ? new TrailedBody(body, this.inputBuffer, this.in) : body;
	}

	/**
	 * Parses a head, continuing with the parser that holds its first part if there is
	 * one.
	 */
	private @Nullable ClassicHttpResponse parseHead() throws IOException, HttpException {
		DefaultHttpResponseParser current = this.parser;
		if (current == null) {
			current = new DefaultHttpResponseParser(CONFIG);
			this.parser = current;
			this.inputBuffer.startHead();
		}
		return current.parse(this.inputBuffer, this.in);
	}

	/**
	 * Waits for unread bytes or for the end of the connection.
	 * @param timeoutMillis longest wait
	 * @return true if a read returns at once, with bytes or with the end of the stream;
	 * false after the time-out
	 * @throws IOException if the connection fails
	 */
	public boolean awaitBytes(long timeoutMillis) throws IOException {
		if (this.inputBuffer.hasBufferedData()) {
			return true;
		}
		try {
			setReadDeadline(timeoutMillis);
			this.inputBuffer.fillBuffer(this.in);
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	/**
	 * Sets a deadline that all reads share until the next call of this method.
	 * @param millis time from now to the deadline
	 */
	public void setReadDeadline(long millis) {
		this.in.setReadDeadline(millis, System.nanoTime());
	}

	/**
	 * Ends the exchange after its response has been read completely.
	 * @return whether the connection can carry another one
	 */
	boolean finish(long nowNanos) {
		this.used = true;
		this.idleSinceNanos = nowNanos;
		if (!this.keepAlive.persistent() || this.inputBuffer.hasBufferedData() || this.socket.isClosed()) {
			return false;
		}
		if (this.inputBuffer.longestLineBytes() > BUFFER_BYTES) {
			// The buffer of a line that has grown does not shrink.
			this.inputBuffer = new ResponseInputBuffer(BUFFER_BYTES, MAX_HEAD_BYTES);
		}
		return true;
	}

	/**
	 * Charges the connection to a memory budget while it rests. It is not evicted, since
	 * it may be used again at any moment.
	 * @return whether the budget has room for it
	 */
	boolean tryRest(MemoryBudget memory, long nowNanos) {
		MemoryReservation reservation = memory.open(MemoryUse.UPSTREAM_CONNECTION);
		this.restingMemory = reservation;
		return !memory.crowded() && reservation.tryReserve(RESTING_BYTES, TimeUnit.NANOSECONDS.toMillis(nowNanos));
	}

	/**
	 * Ends the rest of the connection, which is closed or used again.
	 */
	void endRest() {
		MemoryReservation reservation = this.restingMemory;
		if (reservation != null) {
			this.restingMemory = null;
			reservation.close();
		}
	}

	/**
	 * Whether the connection has been idle for less than the announced keep-alive time
	 * minus a margin. If so, the other side still keeps it open.
	 */
	boolean withinKeepAlive(long nowNanos) {
		return this.keepAlive.allows(TimeUnit.NANOSECONDS.toMillis(idleNanos(nowNanos)));
	}

	/**
	 * Returns the time since the last exchange in nanoseconds.
	 */
	long idleNanos(long nowNanos) {
		return nowNanos - this.idleSinceNanos;
	}

	/**
	 * Whether the idle connection is still open and has no unread bytes. Waits up to 1
	 * ms.
	 */
	boolean checkIdle() {
		try {
			setReadDeadline(STALE_CHECK_MILLIS);
			this.inputBuffer.fillBuffer(this.in);
			return false;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Whether the idle connection has no unread bytes. Does not wait.
	 */
	boolean hasNoUnreadBytes() {
		try {
			return this.in.available() == 0;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Resets the connection: bytes that the other side has not received are dropped, and
	 * the other side learns at once that it can stop its work.
	 */
	public void abort() {
		try {
			this.socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// The socket is already closed.
		}
		close();
	}

	@Override
	public void close() {
		endRest();
		closeQuietly(this.socket);
	}

	private ConnectionException failure(String text, Exception cause) {
		return new ConnectionException(text + this.address + ": " + cause.getMessage(), this.requestSent, cause);
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Ignored: the descriptor is released even if the close fails.
		}
	}

}
