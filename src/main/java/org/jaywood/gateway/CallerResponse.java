package org.jaywood.gateway;

import java.io.IOException;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

import org.jaywood.http.ResponseWriter;

/**
 * Response to one call. Once its head has been written, only the rest of the same
 * response may follow. Confined to the task of the call.
 */
final class CallerResponse {

	/** Hop-by-hop headers, which are not forwarded. */
	private static final Set<String> HOP_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding", "te",
			"trailer", "upgrade", "proxy-connection", "proxy-authenticate", "proxy-authorization", "content-length");

	private final ResponseWriter writer;

	private final Predicate<String> returnedHeaders;

	private final BooleanSupplier closeRequested;

	private boolean closing;

	private boolean committed;

	private boolean complete;

	private boolean writeFailed;

	/**
	 * Creates a response.
	 * @param returnedHeaders whether a header of an upstream, by name, is forwarded
	 * @param closeRequested whether the connection is to be closed after it; evaluated
	 * when its head is written
	 */
	CallerResponse(ResponseWriter writer, Predicate<String> returnedHeaders, BooleanSupplier closeRequested) {
		this.writer = writer;
		this.returnedHeaders = returnedHeaders;
		this.closeRequested = closeRequested;
	}

	static boolean isHopByHop(String name) {
		return HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
	}

	/**
	 * Whether the head has been written.
	 */
	boolean committed() {
		return this.committed;
	}

	/**
	 * Whether the connection can carry another call.
	 */
	boolean connectionReusable() {
		return this.complete && !this.closing;
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Whether the connection to the caller failed while the response was written.
	 */
	boolean writeFailed() {
		return this.writeFailed;
	}

	/**
	 * Closes the connection after this response.
	 */
	void closeConnectionAfter() {
		this.closing = true;
	}

	/**
	 * Forwards a buffered response of an upstream.
	 */
	void forward(BufferedUpstreamResponse response) throws CallerGoneException {
		send(copy(response.head()), response.body());
	}

	/**
	 * Sends a response of the gateway itself.
	 */
	void send(ClassicHttpResponse head, byte[] body) throws CallerGoneException {
		markConnection(head);
		this.committed = true;
		try {
			this.writer.write(head, body);
		}
		catch (IOException ex) {
			throw callerGone(ex);
		}
		this.complete = true;
	}

	/**
	 * Begins to forward a response whose body follows.
	 */
	void begin(ClassicHttpResponse upstreamHead) throws CallerGoneException {
		ClassicHttpResponse head = copy(upstreamHead);
		markConnection(head);
		this.committed = true;
		try {
			this.writer.startStream(head);
		}
		catch (IOException ex) {
			throw callerGone(ex);
		}
	}

	void write(byte[] bytes, int length) throws CallerGoneException {
		if (length == 0) {
			return;
		}
		try {
			this.writer.write(bytes, 0, length);
		}
		catch (IOException ex) {
			throw callerGone(ex);
		}
	}

	/**
	 * Ends the response as complete.
	 */
	void finish() throws CallerGoneException {
		try {
			this.writer.finishStream();
		}
		catch (IOException ex) {
			throw callerGone(ex);
		}
		this.complete = true;
	}

	private CallerGoneException callerGone(IOException cause) {
		this.writeFailed = true;
		return new CallerGoneException(cause);
	}

	private void markConnection(ClassicHttpResponse head) {
		this.closing |= this.closeRequested.getAsBoolean();
		if (this.closing) {
			head.setHeader(HttpHeaders.CONNECTION, "close");
		}
	}

	private ClassicHttpResponse copy(ClassicHttpResponse upstreamHead) {
		ClassicHttpResponse head = new BasicClassicHttpResponse(upstreamHead.getCode(), upstreamHead.getReasonPhrase());
		for (Header header : upstreamHead.getHeaders()) {
			if (!isHopByHop(header.getName()) && this.returnedHeaders.test(header.getName())) {
				head.addHeader(header);
			}
		}
		return head;
	}

}
