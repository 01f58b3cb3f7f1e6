package org.jaywood.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Fake of the platform's store: objects by kind and name, one revision, lists and
 * watches, and injected faults.
 */
final class FakeMetadataStore implements AutoCloseable {

	private static final String PATH_PREFIX = "/objects/";

	private static final int MAX_OBJECT_BYTES = 1 << 20;

	private static final long SILENT_DELAY_MILLIS = 30_000;

	private final Map<String, Map<String, Entry>> entriesByKind = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private final EventLog log;

	private final HttpPort port;

	private long revision = 10;

	private long oldestRevision;

	/** Era of the store, 0 if its responses do not state one. */
	private long era;

	private Fault fault = Fault.NONE;

	FakeMetadataStore(Address listen, EventLog log) {
		this.log = log;
		this.port = openPort(listen);
	}

	/**
	 * Opens a further port of the store. Closing it cuts off the processes that use it.
	 */
	HttpPort openPort(Address listen) {
		return HttpPort.open(listen, this.log)
			.route("GET", PATH_PREFIX, this::handle)
			.route("POST", PATH_PREFIX, this::create)
			.route("PUT", PATH_PREFIX, this::replace)
			.start();
	}

	synchronized void put(String kind, String name, Object spec) {
		Entry entry = new Entry(name, ++this.revision, spec);
		this.entriesByKind.computeIfAbsent(kind, (key) -> new LinkedHashMap<>()).put(name, entry);
		this.changes.add(new Change(kind, entry, false));
		notifyAll();
	}

	synchronized void delete(String kind, String name) {
		Entry entry = this.entriesByKind.get(kind).remove(name);
		this.changes.add(new Change(kind, new Entry(name, ++this.revision, entry.spec()), true));
		notifyAll();
	}

	/**
	 * Sets the fault with which requests are answered, including waiting ones.
	 */
	synchronized void setFault(Fault latest) {
		this.fault = latest;
		notifyAll();
	}

	/**
	 * Drops the history: watches from an older revision get status 410.
	 */
	synchronized void dropHistory() {
		this.oldestRevision = ++this.revision;
		this.changes.clear();
		notifyAll();
	}

	/**
	 * Copies the present state for {@link #restore}.
	 */
	synchronized Copy copy() {
		Map<String, Map<String, Entry>> entries = new TreeMap<>();
		this.entriesByKind.forEach((kind, byName) -> entries.put(kind, new LinkedHashMap<>(byName)));
		return new Copy(entries, List.copyOf(this.changes), this.revision);
	}

	/**
	 * Restores an earlier state: later writes are lost, their revisions are given out
	 * again, and the era rises.
	 */
	synchronized void restore(Copy copy) {
		this.entriesByKind.clear();
		copy.entries().forEach((kind, byName) -> this.entriesByKind.put(kind, new LinkedHashMap<>(byName)));
		this.changes.clear();
		this.changes.addAll(copy.changes());
		this.revision = copy.revision();
		this.era++;
		notifyAll();
	}

	Address address() {
		return this.port.address();
	}

	private synchronized void create(Exchange exchange) throws IOException {
		String kind = exchange.path().substring(PATH_PREFIX.length());
		stateEra(exchange);
		JsonNode object = exchange.readJson(JsonNode.class, MAX_OBJECT_BYTES);
		String name = object.path("Metadata").path("Name").asText();
		if (this.fault != Fault.NONE) {
			exchange.respondJson(this.fault.status, Map.of());
		}
		else if (this.entriesByKind.getOrDefault(kind, Map.of()).containsKey(name)) {
			exchange.respondJson(409, Map.of());
		}
		else {
			put(kind, name, object.path("Spec"));
			exchange.respondJson(201, this.entriesByKind.get(kind).get(name).object());
		}
	}

	private synchronized void replace(Exchange exchange) throws IOException {
		String[] kindAndName = exchange.path().substring(PATH_PREFIX.length()).split("/");
		stateEra(exchange);
		JsonNode object = exchange.readJson(JsonNode.class, MAX_OBJECT_BYTES);
		Entry current = this.entriesByKind.getOrDefault(kindAndName[0], Map.of()).get(kindAndName[1]);
		long wanted = object.path("Metadata").path("Revision").asLong(exchange.queryLong("Revision", -1));
		if (this.fault != Fault.NONE) {
			exchange.respondJson(this.fault.status, Map.of());
		}
		else if (current == null) {
			exchange.respondJson(404, Map.of());
		}
		else if (wanted >= 0 && wanted != current.revision()) {
			exchange.respondJson(409, current.object());
		}
		else {
			// As in the platform's store, a write that changes nothing has no revision.
			if (!object.path("Spec").equals(current.spec())) {
				put(kindAndName[0], kindAndName[1], object.path("Spec"));
			}
			exchange.respondJson(200, this.entriesByKind.get(kindAndName[0]).get(kindAndName[1]).object());
		}
	}

	private synchronized Response read(String kind, String name) {
		Entry entry = this.entriesByKind.getOrDefault(kind, Map.of()).get(name);
		if (this.fault != Fault.NONE || entry == null) {
			return new Response((this.fault != Fault.NONE) ? this.fault.status : 404, Map.of());
		}
		return new Response(200, entry.object());
	}

	private void handle(Exchange exchange) throws IOException, InterruptedException {
		String kind = exchange.path().substring(PATH_PREFIX.length());
		int slash = kind.indexOf('/');
		if (slash >= 0) {
			respond(exchange, read(kind.substring(0, slash), kind.substring(slash + 1)));
			return;
		}
		Response response = exchange.query().containsKey("Watch")
				? watch(kind, exchange.queryLong("Watch", 0), exchange.queryLong("WaitMs", 0)) : list(kind);
		respond(exchange, response);
	}

	private void respond(Exchange exchange, Response response) throws IOException, InterruptedException {
		if (response.status() == 0) {
			Thread.sleep(SILENT_DELAY_MILLIS);
			throw exchange.abort("silence");
		}
		stateEra(exchange);
		exchange.respondJson(response.status(), response.body());
	}

	private synchronized void stateEra(Exchange exchange) {
		if (this.era > 0) {
			exchange.setHeader("Store-Era", Long.toString(this.era));
		}
	}

	private synchronized Response list(String kind) {
		if (this.fault != Fault.NONE) {
			return new Response(this.fault.status, Map.of());
		}
		List<Object> items = this.entriesByKind.getOrDefault(kind, Map.of())
			.values()
			.stream()
			.map(Entry::object)
			.toList();
		return new Response(200, Map.of("Items", items, "HasMore", false, "AsOf", this.revision));
	}

	private synchronized Response watch(String kind, long from, long waitMillis) throws InterruptedException {
		long deadlineMillis = System.currentTimeMillis() + waitMillis;
		while (this.fault == Fault.NONE && retained(from) && events(kind, from).isEmpty()
				&& System.currentTimeMillis() < deadlineMillis) {
			wait(Math.max(1, deadlineMillis - System.currentTimeMillis()));
		}
		if (this.fault != Fault.NONE) {
			return new Response(this.fault.status, Map.of());
		}
		if (!retained(from)) {
			return new Response(410, Map.of());
		}
		return new Response(200, Map.of("events", events(kind, from), "AsOf", this.revision));
	}

	/**
	 * Whether the store has the changes since a revision.
	 */
	private boolean retained(long from) {
		return from >= this.oldestRevision && from <= this.revision;
	}

	private List<Map<String, Object>> events(String kind, long from) {
		return this.changes.stream()
			.filter((change) -> change.kind().equals(kind) && change.entry().revision() > from)
			.map((change) -> Map.of("Object", change.entry().object(), "Deleted", (Object) change.deleted()))
			.toList();
	}

	@Override
	public void close() {
		setFault(Fault.BUSY);
		this.port.close();
	}

	/**
	 * Fault of the store.
	 */
	enum Fault {

		NONE(200),

		BUSY(503),

		SILENT(0);

		private final int status;

		Fault(int status) {
			this.status = status;
		}

	}

	/**
	 * Earlier state of the store.
	 */
	record Copy(Map<String, Map<String, Entry>> entries, List<Change> changes, long revision) {
	}

	record Entry(String name, long revision, Object spec) {

		Object object() {
			return Map.of("Metadata", Map.of("Name", this.name, "Revision", this.revision), "Spec", this.spec);
		}

	}

	record Change(String kind, Entry entry, boolean deleted) {
	}

	private record Response(int status, Object body) {
	}

}
