package org.jaywood.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Stand-in of the platform: an object API with versions, conditional updates and watches,
 * and a list of VMs that lags.
 */
public final class PlatformStandin implements AutoCloseable {

	private static final int VALUE_LIMIT_BYTES = 1024 * 1024;

	private final Map<String, Map<String, Entry>> kinds = new HashMap<>();

	private final Map<String, VmEntry> vms = new LinkedHashMap<>();

	private final HttpPort port;

	private long version;

	public PlatformStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("GET", "/objects/", this::read)
			.route("PUT", "/objects/", this::write)
			.route("DELETE", "/objects/", this::delete)
			.route("GET", "/vms", this::listVms)
			.route("PUT", "/vms/", this::putVm)
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	private void read(Exchange exchange) throws IOException, InterruptedException {
		String[] parts = exchange.path().split("/");
		if (parts.length == 3) {
			watch(exchange, parts[2]);
			return;
		}
		Entry entry = find(parts[2], parts[3]);
		if (entry == null || entry.deleted()) {
			exchange.respondError(404, "no such object");
			return;
		}
		exchange.setHeader("ETag", "\"" + entry.version() + "\"");
		exchange.respondJson(200, entry.value());
	}

	private synchronized @Nullable Entry find(String kind, String name) {
		return this.kinds.getOrDefault(kind, Map.of()).get(name);
	}

	private void watch(Exchange exchange, String kind) throws IOException, InterruptedException {
		long after = exchange.queryLong("after", 0);
		long deadlineNanos = System.nanoTime() + exchange.queryLong("waitMillis", 0) * 1_000_000;
		Map<String, Object> page;
		synchronized (this) {
			List<Map<String, Object>> changes = changes(kind, after);
			while (changes.isEmpty() && deadlineNanos - System.nanoTime() > 0) {
				wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
				changes = changes(kind, after);
			}
			page = Map.of("version", this.version, "objects", changes);
		}
		exchange.respondJson(200, page);
	}

	private List<Map<String, Object>> changes(String kind, long after) {
		return this.kinds.getOrDefault(kind, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().version() > after)
			.map((entry) -> Map.<String, Object>of("name", entry.getKey(), "version", entry.getValue().version(),
					"value", entry.getValue().value(), "deleted", entry.getValue().deleted()))
			.toList();
	}

	private void write(Exchange exchange) throws IOException {
		String[] parts = exchange.path().split("/");
		JsonNode value = Json.tree(exchange.body(VALUE_LIMIT_BYTES));
		store(exchange, parts[2], parts[3], value, false);
	}

	private void delete(Exchange exchange) throws IOException {
		String[] parts = exchange.path().split("/");
		store(exchange, parts[2], parts[3], Json.mapper().createObjectNode(), true);
	}

	private void store(Exchange exchange, String kind, String name, JsonNode value, boolean deleted)
			throws IOException {
		long written = 0;
		synchronized (this) {
			Map<String, Entry> objects = this.kinds.computeIfAbsent(kind, (key) -> new HashMap<>());
			Entry entry = objects.get(name);
			boolean exists = entry != null && !entry.deleted();
			boolean create = "*".equals(exchange.header("If-None-Match"));
			String expected = exchange.optionalHeader("If-Match").orElse("").replace("\"", "");
			boolean holds = create ? !exists : entry != null && exists && expected.equals("" + entry.version());
			if (holds) {
				written = ++this.version;
				objects.put(name, new Entry(written, value, deleted));
				notifyAll();
			}
		}
		if (written == 0) {
			exchange.respondError(412, "condition does not hold");
			return;
		}
		exchange.setHeader("ETag", "\"" + written + "\"");
		exchange.respondJson(200, Map.of("version", written));
	}

	private void listVms(Exchange exchange) throws IOException, InterruptedException {
		long after = exchange.queryLong("after", 0);
		long deadlineNanos = System.nanoTime() + exchange.queryLong("waitMillis", 0) * 1_000_000;
		Map<String, Object> page;
		synchronized (this) {
			List<JsonNode> changed = changedVms(after);
			while (changed.isEmpty() && deadlineNanos - System.nanoTime() > 0) {
				wait(Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
				changed = changedVms(after);
			}
			page = Map.of("version", this.version, "vms", changed);
		}
		exchange.respondJson(200, page);
	}

	private List<JsonNode> changedVms(long after) {
		return new ArrayList<>(
				this.vms.values().stream().filter((entry) -> entry.version() > after).map(VmEntry::value).toList());
	}

	private void putVm(Exchange exchange) throws IOException {
		JsonNode value = Json.tree(exchange.body(VALUE_LIMIT_BYTES));
		if (!value.path("vm").asText().equals(exchange.lastSegment())) {
			throw new BadInputException(400, "name of the VM and of the resource differ");
		}
		synchronized (this) {
			this.vms.put(exchange.lastSegment(), new VmEntry(++this.version, value));
			notifyAll();
		}
		exchange.respondJson(200, Map.of());
	}

	@Override
	public void close() {
		this.port.close();
	}

	private record Entry(long version, JsonNode value, boolean deleted) {
	}

	private record VmEntry(long version, JsonNode value) {
	}

}
