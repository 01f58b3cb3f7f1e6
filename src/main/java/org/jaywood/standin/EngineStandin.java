package org.jaywood.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Stand-in of a model engine. Records the calls that it ran and its load, so that a test
 * can compare them with the answers of the callers. Sends the response headers when it
 * accepts a call. Detects that a connection was closed when it writes the next token.
 */
public final class EngineStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;

	/** Characters of an uncached prompt that the engine processes per millisecond. */
	private static final int PREFILL_CHARS_PER_MILLI = 256;

	private final EngineState state;

	private final HttpPort port;

	private final EngineWeights weights;

	public EngineStandin(Address address, EngineOptions options, EventLog log) {
		this.state = new EngineState(options);
		this.weights = new EngineWeights(address.host(), this.state::turnCold);
		this.port = HttpPort.open(address, log)
			.route("GET", "/status", (exchange) -> exchange.respondJson(200, status()))
			.route("GET", "/record", (exchange) -> exchange.respondJson(200, record()))
			.route("POST", "/control", this::control)
			.route("POST", "/v1/completions", this::complete);
		this.weights.registerRoutes(this.port, this);
		this.port.start();
	}

	public Address address() {
		return this.port.address();
	}

	/**
	 * Returns the status that the engine reports.
	 */
	Map<String, Object> status() {
		Map<String, Object> status = new TreeMap<>(
				this.state.status(this.weights.digest(), this.weights.fencingToken()));
		status.put("checksFencing", this.weights.checksFencing());
		if (this.weights.loading()) {
			status.put("state", "loading");
		}
		return status;
	}

	private Map<String, Object> record() {
		Map<String, Object> record = new TreeMap<>(this.state.record());
		record.putAll(this.weights.record());
		return record;
	}

	private void control(Exchange exchange) throws IOException {
		JsonNode request = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		if (request.path("newInstance").asBoolean()) {
			this.state.restart();
		}
		else if (request.path("cold").asBoolean()) {
			this.state.turnCold();
		}
		exchange.respondJson(200, status());
	}

	private void complete(Exchange exchange) throws IOException, InterruptedException {
		JsonNode request = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		String weightsDigest = this.weights.digest();
		String instance = this.state.instance();
		Optional<EngineState.Call> acceptedCall = this.state.accept(request.path("request_id").asText(),
				request.path("prompt").asText(), request.path("resume_from").asInt(0), System.currentTimeMillis());
		exchange.setHeader("Engine-Weights", weightsDigest);
		if (acceptedCall.isEmpty()) {
			if (!instance.equals(this.state.instance())) {
				throw exchange.abort("engine crashed");
			}
			exchange.setHeader("Engine-Instance", instance);
			exchange.setHeader("Engine-State", this.state.stateName());
			exchange.respondError(503, "engine is full");
			return;
		}
		exchange.setHeader("Engine-Instance", acceptedCall.get().acceptingInstance());
		exchange.setHeader("Engine-State", acceptedCall.get().stateAtAcceptance());
		run(exchange, request, weightsDigest, acceptedCall.get());
	}

	private void run(Exchange exchange, JsonNode request, String weightsDigest, EngineState.Call call)
			throws IOException, InterruptedException {
		boolean completed = false;
		try {
			OutputStream out = exchange.stream(200, "application/x-ndjson");
			out.flush();
			int tokenCount = request.path("max_tokens").asInt(16);
			String prompt = request.path("prompt").asText();
			TimeUnit.MILLISECONDS.sleep(call.prefixCached() ? 0 : prompt.length() / PREFILL_CHARS_PER_MILLI);
			for (int index = request.path("resume_from").asInt(0); index < tokenCount; index++) {
				TimeUnit.MILLISECONDS.sleep(this.state.tokenMillis(request.path("priority").asInt(5)));
				if (!call.addToken()) {
					throw exchange.abort("engine crashed");
				}
				this.weights.onTokenServed();
				writeLine(out, Map.of("index", index, "text", TokenFunction.token(weightsDigest, prompt, index)));
			}
			// The call ends before the end marker is sent, so that its capacity is free
			// when the client reads the marker.
			completed = true;
			call.end(true);
			writeLine(out, Map.of("end", true, "count", tokenCount));
			out.close();
		}
		finally {
			if (!completed) {
				call.end(false);
			}
		}
	}

	private static void writeLine(OutputStream out, Object value) throws IOException {
		out.write(Json.bytes(value));
		out.write('\n');
		out.flush();
	}

	@Override
	public void close() {
		this.port.close();
	}

}
