package org.jaywood.http;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Request that has been read completely. Its connection, which may rest for long after
 * its call, still refers to it, so its content is dropped when the call has ended.
 */
public final class BufferedRequest {

	private static final byte[] NO_BODY = {};

	private volatile ClassicHttpRequest head;

	private volatile byte[] body;

	/**
	 * Creates a request.
	 * @param head request line and headers
	 * @param body the body without its transfer coding
	 */
	public BufferedRequest(ClassicHttpRequest head, byte[] body) {
		this.head = head;
		this.body = body;
	}

	/**
	 * Returns the request line and headers; without headers after {@link #dropContent}.
	 */
	public ClassicHttpRequest head() {
		return this.head;
	}

	/**
	 * Returns the body; it is empty after {@link #dropContent}.
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Drops path, headers and body, so that their memory can be collected.
	 */
	public void dropContent() {
		this.head = new BasicClassicHttpRequest(this.head.getMethod(), "/");
		this.body = NO_BODY;
	}

}
