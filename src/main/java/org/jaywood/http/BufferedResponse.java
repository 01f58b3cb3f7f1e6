package org.jaywood.http;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/**
 * Response whose body has been read completely.
 *
 * @param head status line and headers
 * @param body the body without its transfer coding
 */
public record BufferedResponse(ClassicHttpResponse head, byte[] body) {

	/**
	 * Returns the HTTP status.
	 */
	public int status() {
		return this.head.getCode();
	}

	public boolean ok() {
		return status() == HttpStatus.SC_OK;
	}

	/**
	 * Returns the value of the first header of a name, or null if there is none.
	 */
	public @Nullable String header(String name) {
		Header header = this.head.getFirstHeader(name);
		return (header != null) ? header.getValue() : null;
	}

}
