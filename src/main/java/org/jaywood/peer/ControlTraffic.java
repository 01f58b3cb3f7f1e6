package org.jaywood.peer;

import java.net.http.HttpHeaders;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpResponse;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

import org.jaywood.wire.Exchange;

/**
 * Counts the messages and bytes that a process sends and receives for configuration and
 * membership, whose budget is 17 KB/s. Counts the bytes of HTTP heads and bodies, without
 * the overhead of TCP and IP.
 */
final class ControlTraffic {

	/**
	 * Estimated size of the request line or status line and of the headers that the HTTP
	 * library adds.
	 */
	private static final long FIXED_HEAD_BYTES = 90;

	private final Counter sentMessages;

	private final Counter sentBytes;

	private final Counter receivedMessages;

	private final Counter receivedBytes;

	ControlTraffic(MetricRegistry metrics) {
		this.sentMessages = metrics.counter("control.sent.messages");
		this.sentBytes = metrics.counter("control.sent.bytes");
		this.receivedMessages = metrics.counter("control.received.messages");
		this.receivedBytes = metrics.counter("control.received.bytes");
	}

	/**
	 * Whether requests to a path transfer configuration or membership.
	 */
	static boolean isControl(String path) {
		return path.equals("/v1/probe") || path.equals("/v1/configuration") || path.equals("/v1/vms");
	}

	/**
	 * Counts a request that this process sent and its response.
	 */
	void countOutgoing(HttpResponse<?> response) {
		long bodyBytes = response.request().bodyPublisher().map(BodyPublisher::contentLength).orElse(0L);
		countSent(headBytes(response.request().headers()) + Math.max(0, bodyBytes));
		countReceived(headBytes(response.headers()) + ((response.body() instanceof byte[] body) ? body.length : 0));
	}

	/**
	 * Counts a request that this process received and its response.
	 */
	void countIncoming(Exchange exchange, Map<String, String> responseHeaders, long responseBodyBytes) {
		countReceived(exchange.headBytes() + exchange.headerLong("Content-Length", 0));
		countSent(FIXED_HEAD_BYTES + responseBodyBytes
				+ responseHeaders.entrySet()
					.stream()
					.mapToLong((header) -> header.getKey().length() + header.getValue().length() + 4L)
					.sum());
	}

	private void countSent(long bytes) {
		this.sentMessages.inc();
		this.sentBytes.inc(bytes);
	}

	private void countReceived(long bytes) {
		this.receivedMessages.inc();
		this.receivedBytes.inc(bytes);
	}

	private static long headBytes(HttpHeaders headers) {
		return FIXED_HEAD_BYTES + headers.map()
			.entrySet()
			.stream()

			.flatMap((header) -> header.getValue()
				.stream()
				.map((value) -> header.getKey().length() + value.length() + 4L))
			.mapToLong(Long::longValue)
			.sum();
	}

}
