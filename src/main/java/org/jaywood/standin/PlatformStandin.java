package org.jaywood.standin;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Stand-in of the platform: an object API with versions, conditional writes and watches,
 * and a list of VMs whose entries become visible with a delay. {@code POST /control} sets
 * faults ({@code down}, {@code slowMillis}, {@code loseReplies} with {@code loseKind},
 * {@code vmLagMillis}, {@code readsPerSecond}, {@code writesPerSecond}) and restores an
 * earlier value ({@code restore} with {@code kind}, {@code name}, {@code writesAgo});
 * {@code GET /record} returns the counts of calls.
 */
public final class PlatformStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 1024 * 1024;

	private static final long LONG_POLL_CHECK_MILLIS = 50;

	private final ObjectTable objects = new ObjectTable();

	private final VmTable vms = new VmTable();

	private final PlatformFaults faults = new PlatformFaults();

	private final HttpPort port;

	public PlatformStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("GET", "/objects/", this::read)
			.route("PUT", "/objects/", this::write)
			.route("DELETE", "/objects/", this::write)
			.route("GET", "/vms", this::listVms)
			.route("PUT", "/vms/", this::putVm)
			.route("POST", "/control", this::control)
			.route("GET", "/record", (exchange) -> exchange.respondJson(200, this.faults.record()))
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	private void read(Exchange exchange) throws IOException, InterruptedException {
		String[] parts = exchange.path().split("/");
		boolean watch = parts.length == 3;
		if (!this.faults.admit(exchange, (watch ? "watch " : "read ") + parts[2], false)) {
			exchange.respondError(429, "read rate exceeded");
			return;
		}
		if (watch) {
			watch(exchange, parts[2]);
			return;
		}
		ObjectTable.Entry entry = this.objects.find(parts[2], parts[3]);
		if (entry == null) {
			exchange.respondError(404, "no such object");
			return;
		}
		exchange.setHeader("ETag", "\"" + entry.version() + "\"");
		exchange.respondJson(200, entry.value());
	}

	private void watch(Exchange exchange, String kind) throws IOException, InterruptedException {
		long afterVersion = exchange.queryLong("after", 0);
		Map<String, Object> page = longPoll(exchange, "objects", () -> {
			// The version is read before the changes: a change in between is returned
			// again by the next watch. In the other order it would be lost.
			long version = this.objects.version();
			return Map.of("version", version, "objects", this.objects.changes(kind, afterVersion));
		});
		exchange.respondJson(200, page);
	}

	private void listVms(Exchange exchange) throws IOException, InterruptedException {
		if (!this.faults.admit(exchange, "vms", false)) {
			exchange.respondError(429, "read rate exceeded");
			return;
		}
		long afterVersion = exchange.queryLong("after", 0);
		Map<String, Object> page = longPoll(exchange, "vms", () -> {
			long nowMillis = System.currentTimeMillis();
			return Map.of("version", this.vms.version(nowMillis), "vms", this.vms.changes(afterVersion, nowMillis));
		});
		exchange.respondJson(200, page);
	}

	/**
	 * Holds a request until the page has content or {@code waitMillis} of the request
	 * have passed.
	 */
	private synchronized Map<String, Object> longPoll(Exchange exchange, String listKey,
			Supplier<Map<String, Object>> reader) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + exchange.queryLong("waitMillis", 0) * 1_000_000;
		Map<String, Object> page = reader.get();
		while (((List<?>) page.getOrDefault(listKey, List.of())).isEmpty() && deadlineNanos - System.nanoTime() > 0) {
			wait(LONG_POLL_CHECK_MILLIS);
			this.faults.abortIfDown(exchange);
			page = reader.get();
		}
		return page;
	}

	private void write(Exchange exchange) throws IOException, InterruptedException {
		String[] parts = exchange.path().split("/");
		boolean delete = exchange.method().equals("DELETE");
		byte[] body = exchange.readBody(BODY_LIMIT_BYTES);
		if (!this.faults.admit(exchange, (delete ? "delete " : "write ") + parts[2], true)) {
			exchange.respondError(429, "write rate exceeded");
			return;
		}
		JsonNode value = delete ? Json.mapper().createObjectNode() : Json.tree(body);
		long newVersion = this.objects.write(parts[2], parts[3], value, delete, expectedVersion(exchange));
		if (newVersion == 0) {
			exchange.respondError(412, "condition does not hold");
			return;
		}
		wakeLongPolls();
		this.faults.abortIfResponseLost(exchange, parts[2]);
		exchange.setHeader("ETag", "\"" + newVersion + "\"");
		exchange.respondJson(200, Map.of("version", newVersion));
	}

	private static long expectedVersion(Exchange exchange) {
		if ("*".equals(exchange.header("If-None-Match"))) {
			return 0;
		}
		String expected = exchange.optionalHeader("If-Match").orElse("").replace("\"", "");
		try {
			long version = Long.parseLong(expected);
			return (version > 0) ? version : -1;
		}
		catch (NumberFormatException ex) {
			throw new BadInputException(400, "a write needs If-None-Match: * or If-Match with a version");
		}
	}

	private void putVm(Exchange exchange) throws IOException {
		JsonNode value = Json.tree(exchange.readBody(BODY_LIMIT_BYTES));
		if (!value.path("vm").asText().equals(exchange.lastSegment())) {
			throw new BadInputException(400, "name of the VM and of the resource differ");
		}
		this.vms.put(exchange.lastSegment(), value, System.currentTimeMillis());
		wakeLongPolls();
		exchange.respondJson(200, Map.of());
	}

	private void control(Exchange exchange) throws IOException {
		JsonNode control = Json.tree(exchange.readBody(BODY_LIMIT_BYTES));
		this.faults.update(control);
		if (control.has("vmLagMillis")) {
			this.vms.setLagMillis(control.path("vmLagMillis").asLong());
		}
		JsonNode restore = control.path("restore");
		if (restore.isObject()) {
			this.objects.restore(restore.path("kind").asText(), restore.path("name").asText(),
					restore.path("writesAgo").asInt(1));
		}
		wakeLongPolls();
		exchange.respondJson(200, Map.of());
	}

	private synchronized void wakeLongPolls() {
		notifyAll();
	}

	@Override
	public void close() {
		this.port.close();
	}

}
