package org.jaywood.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Stand-in of the platform's store: objects by kind and name, one revision, lists and
 * watches, and the ways in which it fails.
 */
final class FakeMetadataStore implements AutoCloseable {

	private static final String PREFIX = "/objects/";

	private static final long SILENCE_MILLIS = 30_000;

	private final Map<String, Map<String, Entry>> kinds = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private final HttpPort port;

	private long revision = 10;

	private long oldestRevision;

	private Fault fault = Fault.NONE;

	FakeMetadataStore(Address listen, EventLog log) {
		this.port = HttpPort.open(listen, log).route("GET", PREFIX, this::answer).start();
	}

	synchronized void put(String kind, String name, Object spec) {
		Entry entry = new Entry(name, ++this.revision, spec);
		this.kinds.computeIfAbsent(kind, (key) -> new LinkedHashMap<>()).put(name, entry);
		this.changes.add(new Change(kind, entry, false));
		notifyAll();
	}

	synchronized void delete(String kind, String name) {
		Entry entry = this.kinds.get(kind).remove(name);
		this.changes.add(new Change(kind, new Entry(name, ++this.revision, entry.spec()), true));
		notifyAll();
	}

	/**
	 * Changes how calls are answered, also those that wait.
	 */
	synchronized void fail(Fault latest) {
		this.fault = latest;
		notifyAll();
	}

	/**
	 * Forgets its history: watches from an older revision are refused.
	 */
	synchronized void forget() {
		this.oldestRevision = ++this.revision;
		this.changes.clear();
		notifyAll();
	}

	private void answer(Exchange exchange) throws IOException, InterruptedException {
		String kind = exchange.path().substring(PREFIX.length());
		Reply reply = exchange.query().containsKey("Watch")
				? watch(kind, exchange.queryLong("Watch", 0), exchange.queryLong("WaitMs", 0)) : list(kind);
		if (reply.status() == 0) {
			Thread.sleep(SILENCE_MILLIS);
			throw exchange.abort("silence");
		}
		exchange.respondJson(reply.status(), reply.body());
	}

	private synchronized Reply list(String kind) {
		if (this.fault != Fault.NONE) {
			return new Reply(this.fault.status, Map.of());
		}
		List<Object> items = this.kinds.getOrDefault(kind, Map.of()).values().stream().map(Entry::object).toList();
		return new Reply(200, Map.of("Items", items, "HasMore", false, "AsOf", this.revision));
	}

	private synchronized Reply watch(String kind, long from, long waitMillis) throws InterruptedException {
		long untilMillis = System.currentTimeMillis() + waitMillis;
		while (this.fault == Fault.NONE && from >= this.oldestRevision && events(kind, from).isEmpty()
				&& System.currentTimeMillis() < untilMillis) {
			wait(Math.max(1, untilMillis - System.currentTimeMillis()));
		}
		if (this.fault != Fault.NONE) {
			return new Reply(this.fault.status, Map.of());
		}
		if (from < this.oldestRevision) {
			return new Reply(410, Map.of());
		}
		return new Reply(200, Map.of("events", events(kind, from), "AsOf", this.revision));
	}

	private List<Map<String, Object>> events(String kind, long from) {
		return this.changes.stream()
			.filter((change) -> change.kind().equals(kind) && change.entry().revision() > from)
			.map((change) -> Map.of("Object", change.entry().object(), "Deleted", (Object) change.deleted()))
			.toList();
	}

	@Override
	public void close() {
		fail(Fault.BUSY);
		this.port.close();
	}

	/**
	 * How the store fails.
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

	private record Entry(String name, long revision, Object spec) {

		Object object() {
			return Map.of("Metadata", Map.of("Name", this.name, "Revision", this.revision), "Spec", this.spec);
		}

	}

	private record Change(String kind, Entry entry, boolean deleted) {
	}

	private record Reply(int status, Object body) {
	}

}
