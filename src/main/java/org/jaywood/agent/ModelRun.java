package org.jaywood.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Json;
import org.jaywood.wire.RefusalReason;
import org.jaywood.wire.WireException;

/**
 * Streams one call of an engine to its router. Each index must follow the one before. A
 * router that grants no credit for a while makes the call give up its place at the
 * engine; it is resumed from the next token once credit returns. The end marker is sent
 * only after the engine's own; anything else aborts the connection. Its count is that of
 * the whole answer, its digest covers the texts of this stream.
 */
final class ModelRun {

	private final ModelContext context;

	private final Exchange exchange;

	private final RunningCall call;

	private final CallRequest request;

	private final MessageDigest digest = Digests.newSha256();

	private int nextIndex;

	private String weights = "";

	private @Nullable OutgoingStream out;

	ModelRun(ModelContext context, Exchange exchange, RunningCall call) {
		this.context = context;
		this.exchange = exchange;
		this.call = call;
		this.request = call.request();
		this.nextIndex = this.request.resumeFrom();
	}

	/**
	 * Runs an admitted call to its end.
	 * @param ticket place at the engine
	 * @throws AdmissionRefusal if the engine did not take the call
	 */
	void run(Admission.Ticket ticket) throws IOException, InterruptedException {
		Admission.Ticket place = ticket;
		while (true) {
			byte[] pending = runOnce(place);
			if (pending == null) {
				return;
			}
			this.context.metrics().suspended();
			OutgoingStream stream = stream();
			if (!stream.awaitCredit(pending.length, leftMillis())) {
				throw new IOException("no credit before the deadline");
			}
			stream.send(pending);
			place = resume();
		}
	}

	private Admission.Ticket resume() throws IOException, InterruptedException {
		try {
			Admission.Ticket place = this.context.admission()
				.readmit(this.weights, this.request.heldBytes(this.context.settings().tokenBytes()),
						Math.min(leftMillis(), this.context.settings().resumeWaitMillis()));
			this.context.metrics().resumed();
			return place;
		}
		catch (AdmissionRefusal refusal) {
			throw new IOException("cannot resume at the engine: " + refusal.reason(), refusal);
		}
	}

	/**
	 * Runs the call at the engine until its end or a stall.
	 * @return null at the end, otherwise the line that waits for credit
	 */
	private byte @Nullable [] runOnce(Admission.Ticket place) throws IOException, InterruptedException {
		try {
			HttpResponse<InputStream> reply = connect(place);
			try (InputStream in = reply.body()) {
				this.call.attachUpstream(in);
				acceptHead(reply, place);
				return relay(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)), place);
			}
		}
		finally {
			// Whatever was not completed or refused was broken off.
			place.linger();
			this.call.attachUpstream(null);
		}
	}

	private HttpResponse<InputStream> connect(Admission.Ticket place) throws IOException, InterruptedException {
		HttpRequest engineRequest = this.context.client()
			.request(this.context.engine().uri("/v1/completions"), Duration.ofMillis(Math.max(1, leftMillis())))
			.setHeader("Content-Type", "application/json")
			.POST(BodyPublishers.ofByteArray(Json.bytes(this.request.engineRequest(this.nextIndex))))
			.build();
		try {
			return this.context.client().stream(engineRequest);
		}
		catch (ConnectException ex) {
			place.lost();
			throw refuseOrFail(RefusalReason.NOT_READY, ex);
		}
		catch (IOException ex) {
			place.lost();
			throw ex;
		}
	}

	private IOException refuseOrFail(RefusalReason reason, @Nullable Exception cause) {
		if (this.out == null) {
			throw new AdmissionRefusal(reason, 500);
		}
		return new IOException("engine did not resume the call: " + reason, cause);
	}

	private void acceptHead(HttpResponse<InputStream> reply, Admission.Ticket place) throws IOException {
		String served = reply.headers().firstValue("Engine-Weights").orElse("");
		boolean warm = reply.headers().firstValue("Engine-State").orElse("").equals("warm");
		boolean reset = place.head(reply.headers().firstValue("Engine-Instance").orElse(""), warm, served);
		if (reset) {
			this.context.onReset().run();
		}
		if (reply.statusCode() != 200) {
			place.refused(this.context.clock().getAsLong());
			throw refuseOrFail(warm ? RefusalReason.FULL : RefusalReason.COLD_FULL, null);
		}
		if (!served.equals(this.context.expectedWeights().get())) {
			this.context.onWrongWeights().accept(served);
			throw new IOException("engine serves other weights than were activated");
		}
		String required = (this.out != null) ? this.weights : this.request.requiredWeights();
		if (!required.isEmpty() && !required.equals(served)) {
			throw new IOException("engine serves other weights than the call needs");
		}
		this.weights = served;
	}

	private byte @Nullable [] relay(BufferedReader lines, Admission.Ticket place)
			throws IOException, InterruptedException {
		if (this.out == null) {
			this.out = new OutgoingStream(this.exchange.stream(200, "application/x-ndjson"));
			this.call.attach(this.out);
			send(Frame.head(200, "application/x-ndjson", this.weights));
		}
		long startNanos = System.nanoTime();
		int startIndex = this.nextIndex;
		while (true) {
			JsonNode token = read(lines, place);
			if (token.path("end").asBoolean()) {
				double millis = (System.nanoTime() - startNanos) / 1e6;
				place.completed(millis / Math.max(1, this.nextIndex - startIndex));
				finish(token.path("count").asInt());
				return null;
			}
			byte[] line = OutgoingStream.encode(next(token));
			if (!stream().awaitCredit(line.length, this.context.settings().stallMillis())) {
				return line;
			}
			stream().send(line);
		}
	}

	private JsonNode read(BufferedReader lines, Admission.Ticket place) throws IOException {
		long beforeNanos = System.nanoTime();
		try {
			String line = lines.readLine();
			if (line == null) {
				throw new IOException("engine stream ended without its end marker");
			}
			if (place.gap(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beforeNanos))) {
				this.context.onReset().run();
			}
			return Json.read(line, JsonNode.class);
		}
		catch (IOException | WireException ex) {
			if (!this.call.cancelled() && place.lost()) {
				this.context.onReset().run();
			}
			throw new IOException("engine stream broke", ex);
		}
	}

	private Frame next(JsonNode token) throws IOException {
		int index = token.path("index").asInt(-1);
		if (index != this.nextIndex) {
			throw new IOException("engine sent token " + index + " in place of " + this.nextIndex);
		}
		this.nextIndex++;
		String text = token.path("text").asText();
		this.digest.update(text.getBytes(StandardCharsets.UTF_8));
		return Frame.token(index, text);
	}

	private void finish(int engineCount) throws IOException, InterruptedException {
		if (engineCount != this.nextIndex) {
			throw new IOException("engine counts " + engineCount + " tokens, " + this.nextIndex + " arrived");
		}
		send(Frame.end(this.nextIndex, Digests.hex(this.digest.digest())));
		stream().finish();
	}

	private void send(Frame frame) throws IOException, InterruptedException {
		byte[] line = OutgoingStream.encode(frame);
		if (!stream().awaitCredit(line.length, leftMillis())) {
			throw new IOException("no credit before the deadline");
		}
		stream().send(line);
	}

	private OutgoingStream stream() throws IOException {
		OutgoingStream stream = this.out;
		if (stream == null) {
			throw new IOException("answer has not started");
		}
		return stream;
	}

	private long leftMillis() {
		return Math.max(0, this.request.deadlineMillis() - this.context.clock().getAsLong());
	}

}
