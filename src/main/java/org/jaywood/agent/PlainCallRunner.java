package org.jaywood.agent;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Headers;
import org.jaywood.wire.RefusalReason;
import org.jaywood.wire.WireClient;

/**
 * Runs one call at a plain service. The answer is buffered before its first byte is sent
 * to the router, so that the upstream is free early and the answer can be cached.
 */
final class PlainCallRunner {

	// 6,000 characters in base64: fits the initial credit of 8 KiB together with the
	// head.
	private static final int MAX_FRAME_DATA_BYTES = 4_500;

	private final CallSettings settings;

	private final Address address;

	private final WireClient client;

	private final FinishedAnswerCache finishedAnswers;

	private final AttemptRegistry attempts;

	PlainCallRunner(CallSettings settings, Address address, WireClient client, FinishedAnswerCache finishedAnswers,
			AttemptRegistry attempts) {
		this.settings = settings;
		this.address = address;
		this.client = client;
		this.finishedAnswers = finishedAnswers;
		this.attempts = attempts;
	}

	/**
	 * Runs an admitted call.
	 * @throws AdmissionRefusedException if the connection to the service failed
	 */
	void run(Exchange exchange, RunningCall call, AdmissionController.Permit permit, long nowMillis)
			throws IOException, InterruptedException {
		CallRequest request = call.request();
		Frame.Head head;
		byte[] body;
		try {
			HttpResponse<InputStream> response = connect(request, nowMillis);
			try (InputStream in = response.body()) {
				call.attachUpstream(in);
				body = in.readNBytes(this.settings.plainBodyBytes() + 1);
			}
			head = new Frame.Head(response.statusCode(),
					response.headers().firstValue("Content-Type").orElse("application/octet-stream"), "");
		}
		finally {
			permit.release();
		}
		call.attachUpstream(null);
		if (body.length > this.settings.plainBodyBytes()) {
			throw exchange.abort("answer of the service exceeds " + this.settings.plainBodyBytes() + " bytes");
		}
		this.finishedAnswers.keep(request.router(), request.attempt(), head, body, nowMillis);
		// From here on a fence returns the answer, even while the router does not read.
		this.attempts.markEnded(request.router(), request.attempt());
		relay(exchange, call, head, body, request.deadlineMillis() - nowMillis);
	}

	private HttpResponse<InputStream> connect(CallRequest request, long nowMillis)
			throws IOException, InterruptedException {
		try {
			return this.client.stream(toHttp(request, nowMillis));
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			throw new AdmissionRefusedException(RefusalReason.NOT_READY, 1_000);
		}
	}

	private HttpRequest toHttp(CallRequest request, long nowMillis) {
		long remainingMillis = Math.max(1, request.deadlineMillis() - nowMillis);
		HttpRequest.Builder builder = this.client
			.request(this.address.uri(request.path()), Duration.ofMillis(remainingMillis))
			.setHeader("Request-Id", request.requestId())
			.method(methodOf(request.method()), BodyPublishers.ofByteArray(request.body()));
		if (request.idempotencyKey() != null) {
			builder.setHeader(Headers.IDEMPOTENCY_KEY, request.idempotencyKey());
		}
		return builder.build();
	}

	private static String methodOf(@Nullable String method) {
		return (method != null) ? method : "GET";
	}

	private static void relay(Exchange exchange, RunningCall call, Frame.Head head, byte[] body, long timeoutMillis)
			throws IOException, InterruptedException {
		FlowControlledStream stream = new FlowControlledStream(exchange.stream(200, "application/x-ndjson"));
		call.attachStream(stream);
		send(stream, Frame.head(head.status(), head.contentType(), ""), timeoutMillis);
		int from = 0;
		do {
			int to = Math.min(body.length, from + MAX_FRAME_DATA_BYTES);
			send(stream, Frame.data(Arrays.copyOfRange(body, from, to)), timeoutMillis);
			from = to;
		}
		while (from < body.length);
		send(stream, Frame.end(body.length, Digests.sha256(body)), timeoutMillis);
		stream.finish();
	}

	private static void send(FlowControlledStream stream, Frame frame, long timeoutMillis)
			throws IOException, InterruptedException {
		byte[] line = FlowControlledStream.encode(frame);
		if (!stream.awaitCredit(line.length, timeoutMillis)) {
			throw new IOException("no credit before the deadline");
		}
		stream.send(line);
	}

}
