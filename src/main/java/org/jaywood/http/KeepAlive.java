package org.jaywood.http;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolVersion;

/**
 * Whether a client connection can carry another exchange, and for how long the other side
 * keeps it open, as the responses on it state.
 */
final class KeepAlive {

	/**
	 * Subtracted from the announced time, so that no request is sent while the other side
	 * closes.
	 */
	private static final long MARGIN_MILLIS = 1_000;

	private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

	private final long defaultMillis;

	private long announcedMillis;

	private boolean persistent = true;

	/**
	 * Creates the state of a new connection.
	 * @param defaultMillis time if no response announces one
	 */
	KeepAlive(long defaultMillis) {
		this.defaultMillis = defaultMillis;
		this.announcedMillis = defaultMillis;
	}

	/**
	 * Records what the head of a response states.
	 * @param length length of its body, or a constant of {@link Framing}
	 */
	void onResponse(ClassicHttpResponse head, long length) {
		this.persistent = !closes(head) && length != Framing.UNTIL_CLOSE;
		Header keepAlive = head.getFirstHeader(HttpHeaders.KEEP_ALIVE);
		if (keepAlive != null) {
			this.announcedMillis = timeoutMillis(keepAlive.getValue());
		}
	}

	private static boolean closes(ClassicHttpResponse head) {
		Header connection = head.getFirstHeader(HttpHeaders.CONNECTION);
		ProtocolVersion version = head.getVersion();
		boolean http10 = version != null && version.lessEquals(HttpVersion.HTTP_1_0);
		return http10 || (connection != null && connection.getValue().toLowerCase(Locale.ROOT).contains("close"));
	}

	private long timeoutMillis(String value) {
		return Arrays.stream(value.split(","))
			.map((part) -> TIMEOUT.matcher(part.strip()))
			.filter(Matcher::matches)
			.findFirst()
			.map((timeout) -> TimeUnit.SECONDS.toMillis(Long.parseLong(timeout.group(1))))
			.orElse(this.defaultMillis);
	}

	/**
	 * Whether the last response lets the connection stay open.
	 */
	boolean persistent() {
		return this.persistent;
	}

	/**
	 * Whether the other side keeps a connection open that has been idle for this time.
	 */
	boolean allows(long idleMillis) {
		return idleMillis < this.announcedMillis - Math.min(MARGIN_MILLIS, this.announcedMillis / 2);
	}

}
