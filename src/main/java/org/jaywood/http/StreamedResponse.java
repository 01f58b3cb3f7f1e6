package org.jaywood.http;

import java.io.InputStream;

import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Response whose head has been read and whose body is still open.
 *
 * @param head status and headers
 * @param length length of the body in bytes, or a constant of {@link Framing}
 * @param body the body, read from the connection as it is consumed
 */
public record StreamedResponse(ClassicHttpResponse head, long length, InputStream body) {

	public int status() {
		return this.head.getCode();
	}

}
