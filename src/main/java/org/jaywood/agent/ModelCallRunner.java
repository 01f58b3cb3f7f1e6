package org.jaywood.agent;

import java.io.IOException;
import java.io.InputStream;
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

import org.jaywood.wire.BoundedLineReader;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Json;
import org.jaywood.wire.RefusalReason;
import org.jaywood.wire.WireException;

/**
 * Streams the answer of an engine to the router of the call, in segments that the
 * router's credit covers. The token indexes must be consecutive. If the router grants no
 * credit, the call releases its permit; it is resumed from the next token once there is
 * credit again. The end marker is sent only after the engine's own; any other end aborts
 * the connection. The count in the end marker is that of the whole answer, its digest
 * covers the texts of this stream.
 */
final class ModelCallRunner {

	private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

	private static final int MAX_TOKEN_LINE_BYTES = 64 * 1024;

	/** Status of an engine that refuses a call, which it has not run. */
	private static final int REFUSED = 503;

	private static final byte[] NO_PENDING_LINE = {};

	private final ModelCallContext context;

	private final Exchange exchange;

	private final RunningCall call;

	private final CallRequest request;

	private final MessageDigest textDigest = Digests.newSha256();

	private final TokenSegment segment;

	private int nextIndex;

	private String servedWeights = "";

	private @Nullable FlowControlledStream routerStream;

	ModelCallRunner(ModelCallContext context, Exchange exchange, RunningCall call) {
		this.context = context;
		this.exchange = exchange;
		this.call = call;
		this.request = call.request();
		this.nextIndex = this.request.resumeFrom();
		this.segment = new TokenSegment(this.nextIndex, this.request.maxTokens());
	}

	/**
	 * Runs an admitted call to its end.
	 * @param firstPermit permit under which the call was admitted
	 * @throws AdmissionRefusedException if the engine did not accept the call
	 */
	void run(AdmissionController.Permit firstPermit) throws IOException, InterruptedException {
		AdmissionController.Permit permit = firstPermit;
		while (true) {
			byte[] pending = runSegment(permit);
			if (pending == null) {
				return;
			}
			awaitCredit(pending.length + this.segment.minCreditBytes());
			if (pending.length > 0) {
				startedStream().send(pending);
			}
			this.segment.advance(this.nextIndex, startedStream().creditBytes());
			permit = awaitReadmission();
		}
	}

	private void awaitCredit(int bytes) throws IOException, InterruptedException {
		if (startedStream().awaitCredit(bytes, 0)) {
			return;
		}
		this.context.metrics().countSuspension();
		if (!startedStream().awaitCredit(bytes, leftMillis())) {
			throw new IOException("no credit before the deadline");
		}
		this.context.metrics().countResumption();
	}

	/**
	 * Waits for a permit: until the deadline while the engine has no free capacity, but
	 * for a shorter time while it does not serve, since the router may place the call on
	 * another engine.
	 */
	private AdmissionController.Permit awaitReadmission() throws IOException, InterruptedException {
		long bytes = this.request.maxUpstreamBytes(this.segment.endIndex(), this.context.settings().tokenBytes());
		long waitedMillis = 0;
		while (true) {
			long waitMillis = Math.min(leftMillis(), KEEP_ALIVE_INTERVAL_MILLIS);
			try {
				return this.context.admission().readmit(this.servedWeights, bytes, waitMillis);
			}
			catch (AdmissionRefusedException refusal) {
				waitedMillis += KEEP_ALIVE_INTERVAL_MILLIS;
				boolean serving = refusal.reason() != RefusalReason.NOT_READY
						|| waitedMillis < this.context.settings().resumeWaitMillis();
				if (leftMillis() <= 0 || !serving || refusal.reason() == RefusalReason.WRONG_WEIGHTS) {
					throw new IOException("call was not readmitted to the engine: " + refusal.reason(), refusal);
				}
				keepAlive();
			}
		}
	}

	/**
	 * Sends an empty line, which the router skips. Without it the router treats a stream
	 * that is silent for 10 s as broken.
	 */
	private void keepAlive() throws IOException, InterruptedException {
		if (startedStream().awaitCredit(1, 0)) {
			startedStream().send(new byte[] { '\n' });
		}
	}

	/**
	 * Runs a segment of the call at the engine until the segment ends or credit is
	 * missing.
	 * @return null at the end of the answer, otherwise the line that waits for credit,
	 * empty for none
	 */
	private byte @Nullable [] runSegment(AdmissionController.Permit permit) throws IOException, InterruptedException {
		try {
			HttpResponse<InputStream> response = connect(permit);
			try (InputStream in = response.body()) {
				this.call.attachUpstream(in);
				checkHead(response, permit);
				return relay(new BoundedLineReader(in, MAX_TOKEN_LINE_BYTES), permit);
			}
		}
		finally {
			// A call that was neither completed nor refused was aborted.
			permit.releaseAsOrphaned();
			this.call.attachUpstream(null);
		}
	}

	private HttpResponse<InputStream> connect(AdmissionController.Permit permit)
			throws IOException, InterruptedException {
		HttpRequest engineRequest = this.context.client()
			.request(this.context.engine().uri("/v1/completions"), Duration.ofMillis(Math.max(1, leftMillis())))
			.setHeader("Content-Type", "application/json")
			.POST(BodyPublishers
				.ofByteArray(Json.bytes(this.request.engineRequest(this.nextIndex, this.segment.endIndex()))))
			.build();
		try {
			return this.context.client().stream(engineRequest);
		}
		catch (ConnectException ex) {
			permit.onConnectionLost();
			throw refuseOrFail(RefusalReason.NOT_READY, ex);
		}
		catch (IOException ex) {
			permit.onConnectionLost();
			throw ex;
		}
	}

	private IOException refuseOrFail(RefusalReason reason, @Nullable Exception cause) {
		if (this.routerStream == null) {
			throw new AdmissionRefusedException(reason, 500);
		}
		return new IOException("engine did not resume the call: " + reason, cause);
	}

	private void checkHead(HttpResponse<InputStream> response, AdmissionController.Permit permit) throws IOException {
		EngineResponseHeaders head = EngineResponseHeaders.of(response);
		String responseWeights = head.weights();
		if (permit.onResponseHead(head)) {
			this.context.onLimitReset().run();
		}
		if (response.statusCode() == REFUSED) {
			permit.refused(this.context.clock().getAsLong());
			throw refuseOrFail(head.warm() ? RefusalReason.FULL : RefusalReason.COLD_FULL, null);
		}
		if (response.statusCode() != 200) {
			throw new IOException("engine responded with status " + response.statusCode() + ", the call may have run");
		}
		if (!this.context.servesExpectedWeights(responseWeights)) {
			this.context.onWrongWeights().accept(responseWeights);
			throw new IOException("engine serves weights '" + responseWeights + "', which were not activated");
		}
		String required = (this.routerStream != null) ? this.servedWeights : this.request.requiredWeights();
		if (!required.isEmpty() && !required.equals(responseWeights)) {
			throw new IOException(
					"engine serves weights '" + responseWeights + "', the call requires '" + required + "'");
		}
		this.servedWeights = responseWeights;
	}

	private byte @Nullable [] relay(BoundedLineReader lines, AdmissionController.Permit permit)
			throws IOException, InterruptedException {
		if (this.routerStream == null) {
			this.routerStream = new FlowControlledStream(this.exchange.stream(200, "application/x-ndjson"));
			this.call.attachStream(this.routerStream);
			send(Frame.head(200, "application/x-ndjson", this.servedWeights));
		}
		long startNanos = System.nanoTime();
		int startIndex = this.nextIndex;
		while (true) {
			JsonNode token = readToken(lines, permit);
			if (token.path("end").asBoolean()) {
				double elapsedMillis = (System.nanoTime() - startNanos) / 1e6;
				permit.completed(elapsedMillis / Math.max(1, this.nextIndex - startIndex));
				return finishSegment(token.path("count").asInt());
			}
			byte[] line = FlowControlledStream.encode(nextTokenFrame(token));
			if (!startedStream().awaitCredit(line.length, this.context.settings().creditTimeoutMillis())) {
				return line;
			}
			startedStream().send(line);
			this.segment.recordFrameBytes(line.length);
		}
	}

	private JsonNode readToken(BoundedLineReader lines, AdmissionController.Permit permit) throws IOException {
		long readStartNanos = System.nanoTime();
		try {
			byte[] line = lines.nextLine();
			if (line == null) {
				throw new IOException("stream of the engine ended without an end marker");
			}
			if (permit.onTokenGap(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - readStartNanos))) {
				this.context.onLimitReset().run();
			}
			return Json.read(line, JsonNode.class);
		}
		catch (IOException | WireException ex) {
			if (!this.call.cancelled() && permit.onConnectionLost()) {
				this.context.onLimitReset().run();
			}
			throw new IOException("stream of the engine failed", ex);
		}
	}

	private Frame nextTokenFrame(JsonNode token) throws IOException {
		int index = token.path("index").asInt(-1);
		if (index != this.nextIndex) {
			throw new IOException("engine sent token " + index + ", expected token " + this.nextIndex);
		}
		this.nextIndex++;
		String text = token.path("text").asText();
		this.textDigest.update(text.getBytes(StandardCharsets.UTF_8));
		return Frame.token(index, text);
	}

	private byte @Nullable [] finishSegment(int engineCount) throws IOException, InterruptedException {
		if (engineCount != this.nextIndex) {
			throw new IOException(
					"end marker of the engine counts " + engineCount + " tokens, received " + this.nextIndex);
		}
		if (this.segment.hasMoreAfter(engineCount)) {
			return NO_PENDING_LINE;
		}
		send(Frame.end(this.nextIndex, Digests.hex(this.textDigest.digest())));
		startedStream().finish();
		return null;
	}

	private void send(Frame frame) throws IOException, InterruptedException {
		byte[] line = FlowControlledStream.encode(frame);
		if (!startedStream().awaitCredit(line.length, leftMillis())) {
			throw new IOException("no credit before the deadline");
		}
		startedStream().send(line);
	}

	private FlowControlledStream startedStream() throws IOException {
		FlowControlledStream stream = this.routerStream;
		if (stream == null) {
			throw new IOException("stream to the router has not been opened");
		}
		return stream;
	}

	private long leftMillis() {
		return Math.max(0, this.request.deadlineMillis() - this.context.clock().getAsLong());
	}

}
