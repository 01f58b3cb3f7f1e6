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
 * Runs one call at a plain service. The whole answer is read before its first byte goes
 * on, so that the upstream is free early and the answer can be archived.
 */
final class PlainCallRunner {

	// 6,000 characters in base64: fits the first credit of 8 KiB together with the head.
	private static final int PART_BYTES = 4_500;

	private final CallSettings settings;

	private final Address address;

	private final WireClient client;

	private final FinishedAnswerCache archive;

	private final AttemptRegistry ledger;

	PlainCallRunner(CallSettings settings, Address address, WireClient client, FinishedAnswerCache archive,
			AttemptRegistry ledger) {
		this.settings = settings;
		this.address = address;
		this.client = client;
		this.archive = archive;
		this.ledger = ledger;
	}

	/**
	 * Runs an admitted call.
	 * @throws AdmissionRefusedException if the service could not be connected to
	 */
	void run(Exchange exchange, RunningCall call, AdmissionController.Permit ticket, long nowMillis)
			throws IOException, InterruptedException {
		CallRequest request = call.request();
		Frame.Head head;
		byte[] body;
		try {
			HttpResponse<InputStream> reply = connect(request, nowMillis);
			try (InputStream in = reply.body()) {
				call.attachUpstream(in);
				body = in.readNBytes(this.settings.plainBodyBytes() + 1);
			}
			head = new Frame.Head(reply.statusCode(),
					reply.headers().firstValue("Content-Type").orElse("application/octet-stream"), "");
		}
		finally {
			ticket.release();
		}
		call.attachUpstream(null);
		if (body.length > this.settings.plainBodyBytes()) {
			throw exchange.abort("answer of the service exceeds " + this.settings.plainBodyBytes() + " bytes");
		}
		this.archive.keep(request.router(), request.attempt(), head, body, nowMillis);
		// A fence can get the answer from here on, even while the router does not read.
		this.ledger.markEnded(request.router(), request.attempt());
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
		long leftMillis = Math.max(1, request.deadlineMillis() - nowMillis);
		HttpRequest.Builder builder = this.client
			.request(this.address.uri(request.path()), Duration.ofMillis(leftMillis))
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
		FlowControlledStream out = new FlowControlledStream(exchange.stream(200, "application/x-ndjson"));
		call.attach(out);
		send(out, Frame.head(head.status(), head.contentType(), ""), timeoutMillis);
		int from = 0;
		do {
			int to = Math.min(body.length, from + PART_BYTES);
			send(out, Frame.data(Arrays.copyOfRange(body, from, to)), timeoutMillis);
			from = to;
		}
		while (from < body.length);
		send(out, Frame.end(body.length, Digests.sha256(body)), timeoutMillis);
		out.finish();
	}

	private static void send(FlowControlledStream out, Frame frame, long timeoutMillis)
			throws IOException, InterruptedException {
		byte[] line = FlowControlledStream.encode(frame);
		if (!out.awaitCredit(line.length, timeoutMillis)) {
			throw new IOException("no credit before the deadline");
		}
		out.send(line);
	}

}
