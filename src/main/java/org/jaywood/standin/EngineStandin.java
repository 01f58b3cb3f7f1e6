package org.jaywood.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Stand-in of a model engine. It records what it served and under which load, so that a
 * test can compare this with what callers were told.
 */
public final class EngineStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;

	private final String instance = UUID.randomUUID().toString();

	private final AtomicInteger inFlight = new AtomicInteger();

	private final HttpPort port;

	private final long tokenMillis;

	private final EngineWeights weights;

	public EngineStandin(Address address, long tokenMillis, EventLog log) {
		this.tokenMillis = tokenMillis;
		this.port = HttpPort.open(address, log)
			.route("GET", "/status", (exchange) -> exchange.respondJson(200, status()))
			.route("POST", "/v1/completions", this::complete);
		this.weights = new EngineWeights(address.host(), () -> {
		});
		this.port.route("GET", "/record", (exchange) -> exchange.respondJson(200, this.weights.record()));
		this.weights.register(this.port, this);
		this.port.start();
	}

	public Address address() {
		return this.port.address();
	}

	/**
	 * Status as the engine reports it.
	 */
	Map<String, Object> status() {
		return Map.of("instance", this.instance, "state", this.weights.loading() ? "loading" : "warm", "weights",
				this.weights.digest(), "fencing", this.weights.fencing(), "inFlight", this.inFlight.get(),
				"memoryBytes", 0, "memoryLimitBytes", 1 << 30, "coldLimit", 2, "maxConcurrency", 64, "checksFencing",
				this.weights.checksFencing());
	}

	private void complete(Exchange exchange) throws IOException, InterruptedException {
		JsonNode request = exchange.json(JsonNode.class, BODY_LIMIT_BYTES);
		String prompt = request.path("prompt").asText();
		int count = request.path("max_tokens").asInt(16);
		String served = this.weights.digest();
		exchange.setHeader("Engine-Instance", this.instance);
		exchange.setHeader("Engine-State", "warm");
		exchange.setHeader("Engine-Weights", served);
		this.inFlight.incrementAndGet();
		try (OutputStream out = exchange.stream(200, "application/x-ndjson")) {
			for (int index = request.path("resume_from").asInt(0); index < count; index++) {
				TimeUnit.MILLISECONDS.sleep(this.tokenMillis);
				this.weights.onTokenServed();
				writeLine(out, Map.of("index", index, "text", TokenFunction.token(served, prompt, index)));
			}
			writeLine(out, Map.of("end", true, "count", count));
		}
		finally {
			this.inFlight.decrementAndGet();
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
