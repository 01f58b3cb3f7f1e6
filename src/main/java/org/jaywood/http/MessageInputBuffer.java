package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer of a connection that detects where the connection ends within the head of
 * a message, a chunk header or the trailers. The parsers of HttpCore take the end of the
 * connection for the end of a line and of the head, so that a message that broke off
 * there looks complete. They also keep all lines of a head and of the trailers, so the
 * bytes of these lines have one limit together.
 */
class MessageInputBuffer extends SessionInputBufferImpl {

	private static final int LINE_END_BYTES = 2;

	private static final long BETWEEN_LINES = -1;

	/** Whether an empty line has yet to end a head, a chunk or the trailers. */
	private boolean withinLines;

	private boolean connectionEnded;

	private final int maxHeadBytes;

	/** Bytes of the lines of all heads since the start of the exchange. */
	private int headBytes;

	/** Bytes of the lines of a chunk header, or of the trailers so far. */
	private int bodyLineBytes;

	private boolean inBody;

	/** Bytes that have been read into the buffer. */
	private long filledBytes;

	/** Position of the line that is being read, or {@link #BETWEEN_LINES}. */
	private long lineStart = BETWEEN_LINES;

	private boolean lineEndComplete;

	private int longestLineBytes;

	/**
	 * Creates a buffer.
	 * @param maxHeadBytes limit on the bytes of the heads of one exchange together, and
	 * on those of its trailers
	 */
	MessageInputBuffer(int bufferBytes, int maxHeadBytes) {
		super(bufferBytes, maxHeadBytes);
		this.maxHeadBytes = maxHeadBytes;
	}

	/**
	 * Starts an exchange, whose heads count together.
	 */
	void startExchange() {
		this.headBytes = 0;
		startHead();
	}

	/**
	 * Starts another head of the exchange.
	 */
	void startHead() {
		this.inBody = false;
	}

	/**
	 * Returns the bytes of the lines of all heads since the start of the exchange.
	 */
	int headBytes() {
		return this.headBytes;
	}

	/**
	 * Starts a body. The lines of a chunk header count alone, those of the trailers
	 * together.
	 */
	void startBody() {
		this.bodyLineBytes = 0;
		this.inBody = true;
	}

	@Override
	public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
		this.connectionEnded = false;
		// After a time-out within a line, it is read on from there.
		this.lineStart = (this.lineStart == BETWEEN_LINES) ? position() : this.lineStart;
		int length = super.readLine(line, in);
		this.lineEndComplete = position() - this.lineStart - length == LINE_END_BYTES;
		this.lineStart = BETWEEN_LINES;
		if (this.connectionEnded && (length >= 0 || this.withinLines)) {
			throw new ConnectionClosedException("the connection ended within the lines of a message");
		}
		this.withinLines = length > 0;
		countLine(Math.max(0, length));
		return length;
	}

	/**
	 * Returns the position of the next byte among those that have passed this buffer.
	 */
	private long position() {
		return this.filledBytes - length();
	}

	/**
	 * Whether the last line ended with CR and LF, rather than with LF alone.
	 */
	boolean lineEndComplete() {
		return this.lineEndComplete;
	}

	/**
	 * Returns the bytes of the longest line so far; the buffer has grown to hold it.
	 */
	int longestLineBytes() {
		return this.longestLineBytes;
	}

	private void countLine(int length) throws MessageConstraintException {
		int bytes = length + LINE_END_BYTES;
		this.longestLineBytes = Math.max(this.longestLineBytes, bytes);
		if (this.inBody) {
			this.bodyLineBytes = (length > 0) ? this.bodyLineBytes + bytes : 0;
		}
		else {
			this.headBytes += bytes;
		}
		if (Math.max(this.headBytes, this.bodyLineBytes) > this.maxHeadBytes) {
			throw new MessageConstraintException("head or trailers exceed " + this.maxHeadBytes + " bytes");
		}
	}

	@Override
	public int fillBuffer(InputStream in) throws IOException {
		int length = super.fillBuffer(in);
		this.connectionEnded = length < 0;
		this.filledBytes += Math.max(0, length);
		return length;
	}

}
