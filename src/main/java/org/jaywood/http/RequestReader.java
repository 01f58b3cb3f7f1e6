package org.jaywood.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.message.BasicHeader;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;

/**
 * Reads the requests of one connection, one after the other, within limits on size and
 * time. Used by one thread.
 */
public final class RequestReader {

	private static final int BUFFER_BYTES = 4 * 1024;

	private static final int MAX_HEADERS = 100;

	/** Method and version of a request line, which the limit of a head leaves out. */
	private static final int UNCOUNTED_HEAD_BYTES = 64;

	/**
	 * Largest head whatever the configuration allows, since it is kept in memory as a
	 * whole.
	 */
	private static final int MAX_HEAD_BYTES = 256 * 1024;

	private static final byte[] CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

	private final Socket socket;

	private final DeadlineInputStream in;

	private Http1Config config;

	private RequestInputBuffer buffer;

	/**
	 * Creates a reader.
	 * @param socket connection of the caller
	 * @param maxHeaderBytes largest head until the first call of {@link #read}
	 */
	public RequestReader(Socket socket, int maxHeaderBytes) throws IOException {
		SocketTuning.apply(socket);
		this.socket = socket;
		this.in = new DeadlineInputStream(socket);
		this.config = config(maxHeaderBytes);
		this.buffer = new RequestInputBuffer(BUFFER_BYTES, maxHeadBytes());
	}

	private static Http1Config config(int maxHeaderBytes) {
		return Http1Config.custom()
			.setMaxLineLength(Math.min(maxHeaderBytes, MAX_HEAD_BYTES) + UNCOUNTED_HEAD_BYTES)
			.setMaxHeaderCount(MAX_HEADERS)
			.setMaxEmptyLineCount(1)
			.build();
	}

	/**
	 * Applies the limit of a newer configuration.
	 */
	private void setMaxHeaderBytes(int maxHeaderBytes) throws IOException {
		Http1Config newConfig = config(maxHeaderBytes);
		if (newConfig.getMaxLineLength() != this.config.getMaxLineLength()) {
			this.config = newConfig;
			replaceBuffer();
		}
	}

	/**
	 * Replaces the buffer by a new one that takes over the unread bytes. The limit of a
	 * buffer cannot change, and one that has grown with a long line does not shrink.
	 */
	private void replaceBuffer() throws IOException {
		byte[] unread = new byte[this.buffer.length()];
		if (unread.length > 0) {
			this.buffer.read(unread, this.in);
		}
		this.buffer = new RequestInputBuffer(BUFFER_BYTES, maxHeadBytes());
		if (unread.length > 0) {
			this.buffer.fillBuffer(new ByteArrayInputStream(unread));
		}
	}

	/**
	 * Waits for bytes of the next request.
	 * @param timeoutMillis longest wait
	 * @return whether bytes are there, the connection is closed or neither
	 */
	public Readiness awaitRequest(long timeoutMillis) {
		if (this.buffer.hasBufferedData()) {
			return Readiness.READABLE;
		}
		try {
			this.in.setReadDeadline(timeoutMillis, System.nanoTime());
			return (this.buffer.fillBuffer(this.in) < 0) ? Readiness.CLOSED : Readiness.READABLE;
		}
		catch (SocketTimeoutException ex) {
			return Readiness.TIMED_OUT;
		}
		catch (IOException ex) {
			return Readiness.CLOSED;
		}
	}

	/**
	 * Returns the number of bytes that have arrived after the last request read. Bytes in
	 * the socket's buffer count only while the socket is open.
	 */
	public int unreadBytes() {
		int bufferedBytes = this.buffer.length();
		try {
			return bufferedBytes + this.in.available();
		}
		catch (IOException ex) {
			// The socket is closed, so only the buffer can be counted.
			return bufferedBytes;
		}
	}

	/**
	 * Reads a request whose first bytes have arrived. Head and body have one time-out
	 * each, which does not restart with each byte. Their memory is reserved as they
	 * arrive; the reader itself keeps none of it.
	 * @param limits limits on size and time
	 * @param memory reservation for the request, which its user closes
	 * @return the request, or null if the connection ended before a request
	 * @throws BadInputException if the request is malformed, too large or too slow; it
	 * carries the status for the caller
	 * @throws MemoryLimitException if the request does not fit into the memory budget, or
	 * its reservation was evicted while the caller sent nothing
	 * @throws IOException if the connection fails
	 */
	public @Nullable BufferedRequest read(RequestLimits limits, MemoryReservation memory) throws IOException {
		try {
			this.in.setMemory(memory);
			setMaxHeaderBytes(limits.maxHeaderBytes());
			ClassicHttpRequest head = readHead(limits, memory);
			if (head == null) {
				return null;
			}
			BufferedRequest request = new BufferedRequest(head, readBody(head, limits, memory));
			if (this.buffer.longestLineBytes() > BUFFER_BYTES) {
				replaceBuffer();
			}
			return request;
		}
		catch (SocketTimeoutException ex) {
			throw new BadInputException(HttpStatus.SC_REQUEST_TIMEOUT, "the request did not arrive in time");
		}
		catch (MessageConstraintException | RequestHeaderFieldsTooLargeException ex) {
			throw new BadInputException(HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large");
		}
		catch (TruncatedChunkException ex) {
			throw ex;
		}
		catch (HttpException | MalformedChunkCodingException ex) {
			throw new BadInputException(HttpStatus.SC_BAD_REQUEST, "malformed request: " + ex.getMessage());
		}
		finally {
			this.in.setMemory(null);
		}
	}

	private @Nullable ClassicHttpRequest readHead(RequestLimits limits, MemoryReservation memory)
			throws IOException, HttpException {
		HeadReservation reservation = new HeadReservation(memory);
		this.in.setReadDeadline(limits.headTimeoutMillis(), System.nanoTime());
		this.buffer.startRequest(reservation);
		ClassicHttpRequest head = new DefaultHttpRequestParser(this.config).parse(this.buffer, this.in);
		if (head == null) {
			return null;
		}
		this.buffer.startBody();
		checkHead(head, limits);
		compact(head);
		reservation.onComplete(this.buffer.headBytes(), head.getHeaders().length);
		return head;
	}

	/**
	 * Replaces the fields of a head, which refer to the buffers of their lines, by fields
	 * of their own size.
	 */
	private static void compact(ClassicHttpRequest head) {
		head.setHeaders(Arrays.stream(head.getHeaders())
			.map((field) -> new BasicHeader(field.getName(), field.getValue()))
			.toArray(Header[]::new));
	}

	private int maxHeadBytes() {
		return this.config.getMaxLineLength();
	}

	/**
	 * Reads and drops what the caller of a refused request still sends, since it would
	 * lose the response if the connection ended with bytes unread.
	 * @param maxBytes largest number of bytes
	 * @param timeoutMillis longest time
	 * @return number of bytes dropped
	 */
	public long discard(long maxBytes, long timeoutMillis) throws IOException {
		byte[] dropped = new byte[BUFFER_BYTES];
		long droppedBytes = 0;
		this.in.setReadDeadline(timeoutMillis, System.nanoTime());
		try {
			int count = 0;
			while (count >= 0 && droppedBytes < maxBytes) {
				droppedBytes += count;
				count = this.in.read(dropped);
			}
		}
		catch (SocketTimeoutException ex) {
			// The time is over.
		}
		return droppedBytes;
	}

	private byte[] readBody(ClassicHttpRequest head, RequestLimits limits, MemoryReservation memory)
			throws IOException, HttpException {
		boolean hasBody = head.containsHeader(HttpHeaders.CONTENT_LENGTH)
				|| head.containsHeader(HttpHeaders.TRANSFER_ENCODING);
		if (!hasBody) {
			return new byte[0];
		}
		long length = Framing.lengthOf(head);
		if (length > limits.maxBodyBytes()) {
			throw new BadInputException(HttpStatus.SC_REQUEST_TOO_LONG, "the body is too large");
		}
		ReservedBody reserved = new ReservedBody(length, limits.maxBodyBytes(), memory);
		this.in.setReadDeadline(limits.idleTimeoutMillis(), System.nanoTime());
		if (head.containsHeader(HttpHeaders.EXPECT)) {
			this.socket.getOutputStream().write(CONTINUE_RESPONSE);
		}
		byte[] body = reserved.read(Framing.body(length, this.buffer, this.in, this.config));
		if (body == null) {
			throw new BadInputException(HttpStatus.SC_REQUEST_TOO_LONG, "the body is too large");
		}
		return body;
	}

	private static void checkHead(ClassicHttpRequest head, RequestLimits limits) {
		int bytes = head.getRequestUri().length();
		for (Header header : head.getHeaders()) {
			bytes += header.getName().length() + String.valueOf(header.getValue()).length() + 4;
		}
		if (bytes > limits.maxHeaderBytes()) {
			throw new BadInputException(HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large");
		}
		if (head.countHeaders(HttpHeaders.HOST) != 1) {
			throw new BadInputException(HttpStatus.SC_BAD_REQUEST, "exactly one Host is required");
		}
	}

	/**
	 * Result of a wait for the next request.
	 */
	public enum Readiness {

		/** First bytes of the next request are available. */
		READABLE,

		/** The connection was closed by the caller or has failed. */
		CLOSED,

		/** Nothing arrived within the time-out. */
		TIMED_OUT

	}

}
