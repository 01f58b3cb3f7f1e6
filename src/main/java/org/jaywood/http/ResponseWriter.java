package org.jaywood.http;

import java.io.IOException;
import java.io.OutputStream;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.io.ChunkedOutputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseWriter;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.jspecify.annotations.Nullable;

/**
 * Writes the answers of one connection. A streamed answer that is not finished has no
 * last chunk, so that its reader sees that it is incomplete.
 */
public final class ResponseWriter {

	private static final int BUFFER_BYTES = 8 * 1024;

	private final OutputStream out;

	private final SessionOutputBufferImpl buffer = new SessionOutputBufferImpl(BUFFER_BYTES);

	private @Nullable ChunkedOutputStream chunkedBody;

	public ResponseWriter(OutputStream out) {
		this.out = out;
	}

	/**
	 * Writes a whole answer.
	 */
	public void write(ClassicHttpResponse head, byte[] body) throws IOException {
		head.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
		writeHead(head);
		this.buffer.write(body, 0, body.length, this.out);
		this.buffer.flush(this.out);
	}

	/**
	 * Begins an answer whose body follows in pieces.
	 */
	public void begin(ClassicHttpResponse head) throws IOException {
		head.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
		writeHead(head);
		this.chunkedBody = new ChunkedOutputStream(this.buffer, this.out, BUFFER_BYTES);
	}

	/**
	 * Sends a piece of the body at once.
	 */
	public void write(byte[] bytes, int offset, int length) throws IOException {
		ChunkedOutputStream body = chunkedBody();
		body.write(bytes, offset, length);
		body.flush();
	}

	/**
	 * Ends an answer that was sent in pieces as complete.
	 */
	public void finish() throws IOException {
		chunkedBody().finish();
		this.buffer.flush(this.out);
		this.chunkedBody = null;
	}

	private ChunkedOutputStream chunkedBody() {
		if (this.chunkedBody == null) {
			throw new IllegalStateException("no streamed answer has begun");
		}
		return this.chunkedBody;
	}

	private void writeHead(ClassicHttpResponse head) throws IOException {
		try {
			new DefaultHttpResponseWriter().write(head, this.buffer, this.out);
		}
		catch (HttpException ex) {
			throw new IOException("cannot write the head of an answer", ex);
		}
	}

}
