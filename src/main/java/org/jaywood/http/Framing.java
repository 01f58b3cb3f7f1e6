package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.IdentityInputStream;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Determines where the body of a message ends. A body of length {@link #CHUNKED} ends
 * with its last chunk, one of length {@link #UNTIL_CLOSE} with its connection.
 */
public final class Framing {

	/** The body is sent in chunks. */
	public static final long CHUNKED = ContentLengthStrategy.CHUNKED;

	/** The body ends with its connection. */
	public static final long UNTIL_CLOSE = ContentLengthStrategy.UNDEFINED;

	private static final Pattern DIGITS = Pattern.compile("[0-9]+");

	private Framing() {
	}

	/**
	 * Returns the length of the body of a message in bytes, or one of the constants.
	 * @throws HttpException if the message states its length more than once, in two ways
	 * or in a form that recipients may interpret differently
	 */
	static long lengthOf(HttpMessage message) throws HttpException {
		int lengths = message.countHeaders(HttpHeaders.CONTENT_LENGTH);
		int codings = message.countHeaders(HttpHeaders.TRANSFER_ENCODING);
		if (lengths + codings > 1) {
			throw new HttpException("the length of the body is stated more than once");
		}
		Header length = message.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
		// Long.parseLong accepts a sign.
		if (length != null && !DIGITS.matcher(String.valueOf(length.getValue())).matches()) {
			throw new HttpException("the length of the body is no number");
		}
		return DefaultContentLengthStrategy.INSTANCE.determineLength(message);
	}

	/**
	 * Returns the length of the body of a response in bytes, or one of the constants.
	 * @throws HttpException if {@link #lengthOf} rejects the length, or if a response
	 * that never has a body states one, or one of HTTP/1.0 has chunks
	 */
	static long lengthOfResponse(ClassicHttpResponse head) throws HttpException {
		long length = lengthOf(head);
		ProtocolVersion version = head.getVersion();
		if (length == CHUNKED && version != null && version.lessEquals(HttpVersion.HTTP_1_0)) {
			throw new HttpException("a response of HTTP/1.0 has no chunks");
		}
		int status = head.getCode();
		boolean neverHasBody = status < HttpStatus.SC_OK || status == HttpStatus.SC_NO_CONTENT;
		if (neverHasBody && length != 0 && length != UNTIL_CLOSE) {
			throw new HttpException("a response with status " + status + " states the length of a body");
		}
		return (neverHasBody || status == HttpStatus.SC_NOT_MODIFIED) ? 0 : length;
	}

	static InputStream body(long length, SessionInputBuffer buffer, InputStream in, Http1Config config) {
		if (length == CHUNKED) {
			return new ChunkedInputStream(buffer, in, config);
		}
		if (length == UNTIL_CLOSE) {
			return new IdentityInputStream(buffer, in);
		}
		return new ContentLengthInputStream(buffer, in, length);
	}

	/**
	 * Reads a whole body up to a size limit.
	 * @return the body, or null if it exceeds the limit
	 */
	static byte @Nullable [] readBounded(InputStream body, int limitBytes) throws IOException {
		byte[] bytes = body.readNBytes(limitBytes + 1);
		return (bytes.length > limitBytes) ? null : bytes;
	}

}
