package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer of a connection that detects where the connection ends within the head of
 * a message, a chunk header or the trailers. The parsers of HttpCore take the end of the
 * connection for the end of a line and of the head, so that a message that broke off
 * there looks complete.
 */
final class MessageInputBuffer extends SessionInputBufferImpl {

	/** Whether an empty line has yet to end a head, a chunk or the trailers. */
	private boolean withinLines;

	private boolean connectionEnded;

	MessageInputBuffer(int bufferBytes, int maxLineBytes) {
		super(bufferBytes, maxLineBytes);
	}

	@Override
	public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
		this.connectionEnded = false;
		int length = super.readLine(line, in);
		if (this.connectionEnded && (length >= 0 || this.withinLines)) {
			throw new ConnectionClosedException("the connection ended within the lines of a message");
		}
		this.withinLines = length > 0;
		return length;
	}

	@Override
	public int fillBuffer(InputStream in) throws IOException {
		int length = super.fillBuffer(in);
		this.connectionEnded = length < 0;
		return length;
	}

}
