package org.jaywood.standin;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.Headers;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Stand-in of a plain service. Records each call that it ran. {@code POST /control} sets
 * a delay ({@code delayMillis}), a status of failed calls ({@code failStatus}), the size
 * of the answers ({@code answerBytes}), whether responses are dropped after the call ran
 * ({@code dropReply}), and the share of calls that fail in one of these ways
 * ({@code faultShare}).
 */
public final class ServiceStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;

	private final List<String> requestIds = new CopyOnWriteArrayList<>();

	private final List<String> idempotencyKeys = new CopyOnWriteArrayList<>();

	private final List<String> paths = new CopyOnWriteArrayList<>();

	private final HttpPort port;

	private volatile Faults faults = new Faults(0, 0, 0, false, 1);

	private volatile long lastArrivalMillis;

	public ServiceStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("GET", "/record", this::record)
			.route("POST", "/control", this::control)
			.route("*", "/", this::run)
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	private void record(Exchange exchange) throws IOException {
		exchange.respondJson(200, Map.of("runs", this.requestIds, "keys", this.idempotencyKeys, "paths", this.paths,
				"lastArrivalMillis", this.lastArrivalMillis));
	}

	private void control(Exchange exchange) throws IOException {
		JsonNode request = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		this.faults = new Faults(request.path("delayMillis").asLong(), request.path("failStatus").asInt(),
				request.path("answerBytes").asInt(), request.path("dropReply").asBoolean(),
				request.path("faultShare").asDouble(1));
		exchange.respondJson(200, Map.of());
	}

	private void run(Exchange exchange) throws IOException, InterruptedException {
		byte[] body = exchange.readBody(BODY_LIMIT_BYTES);
		Faults current = this.faults;
		this.lastArrivalMillis = System.currentTimeMillis();
		this.requestIds.add(exchange.optionalHeader("Request-Id").orElse(""));
		this.paths.add(exchange.target());
		exchange.optionalHeader(Headers.IDEMPOTENCY_KEY).ifPresent(this.idempotencyKeys::add);
		TimeUnit.MILLISECONDS.sleep(current.delayMillis());
		boolean fails = ThreadLocalRandom.current().nextDouble() < current.share();
		if (current.dropReply() && fails) {
			throw exchange.abort("response is dropped");
		}
		if (current.failStatus() > 0 && fails) {
			exchange.respondError(current.failStatus(), "fails on order");
			return;
		}
		if (current.answerBytes() > 0) {
			exchange.respond(200, "application/octet-stream", new byte[current.answerBytes()]);
			return;
		}
		exchange.respond(200, "application/json", Json.bytes(Map.of("method", exchange.method(), "path",
				exchange.target(), "bytes", body.length, "run", this.requestIds.size())));
	}

	@Override
	public void close() {
		this.port.close();
	}

	private record Faults(long delayMillis, int failStatus, int answerBytes, boolean dropReply, double share) {
	}

}
