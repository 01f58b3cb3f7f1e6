package org.jaywood.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.impl.io.ChunkedOutputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseWriter;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.jspecify.annotations.Nullable;

/**
 * Writes the responses of one connection. A streamed response that is not finished has no
 * last chunk, so that its reader can detect that it is incomplete. Between responses it
 * holds no buffer, since a connection may rest for long.
 */
public final class ResponseWriter {

	private static final int BUFFER_BYTES = 8 * 1024;

	private final OutputStream out;

	private @Nullable SessionOutputBufferImpl buffer;

	private @Nullable ChunkedOutputStream chunkedBody;

	public ResponseWriter(OutputStream out) {
		this.out = out;
	}

	/**
	 * Writes a buffered response.
	 */
	public void write(ClassicHttpResponse head, byte[] body) throws IOException {
		head.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
		SessionOutputBufferImpl response = writeHead(head);
		response.write(body, 0, body.length, this.out);
		response.flush(this.out);
	}

	/**
	 * Starts a streamed response: writes its head.
	 */
	public void startStream(ClassicHttpResponse head) throws IOException {
		head.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
		SessionOutputBufferImpl response = writeHead(head);
		this.buffer = response;
		this.chunkedBody = new ChunkedOutputStream(response, this.out, BUFFER_BYTES);
	}

	/**
	 * Sends a part of the body of a streamed response and flushes it.
	 */
	public void write(byte[] bytes, int offset, int length) throws IOException {
		ChunkedOutputStream body = chunkedBody();
		body.write(bytes, offset, length);
		body.flush();
	}

	/**
	 * Ends a streamed response as complete.
	 */
	public void finishStream() throws IOException {
		chunkedBody().finish();
		SessionOutputBufferImpl response = this.buffer;
		this.chunkedBody = null;
		this.buffer = null;
		if (response != null) {
			response.flush(this.out);
		}
	}

	private ChunkedOutputStream chunkedBody() {
		if (this.chunkedBody == null) {
			throw new IllegalStateException("no streamed response has been started");
		}
		return this.chunkedBody;
	}

	private SessionOutputBufferImpl writeHead(ClassicHttpResponse head) throws IOException {
		SessionOutputBufferImpl response = new SessionOutputBufferImpl(BUFFER_BYTES,
				StandardCharsets.ISO_8859_1.newEncoder());
		try {
			new DefaultHttpResponseWriter().write(head, response, this.out);
			return response;
		}
		catch (HttpException ex) {
			throw new IOException("cannot write the head of a response", ex);
		}
	}

}
