package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's metadata store: lists and watches of objects by kind, one
 * revision counter. It never fails.
 */
final class Store implements AutoCloseable {

	private static final String PREFIX = "/objects/";

	private final Map<String, Map<String, Object>> objectsByKind = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private final HttpServer server;

	private long revision = 100;

	Store(InetSocketAddress address) {
		this.server = Http.serve(address, this::handle);
	}

	/**
	 * Stores an object; the return of this method is the acknowledgement.
	 */
	synchronized void put(String kind, String name, Object spec) {
		this.revision++;
		Map<String, Object> object = object(name, spec);
		this.objectsByKind.computeIfAbsent(kind, (key) -> new LinkedHashMap<>()).put(name, object);
		this.changes.add(new Change(kind, this.revision, object, false));
		notifyAll();
	}

	synchronized void delete(String kind, String name) {
		if (this.objectsByKind.getOrDefault(kind, Map.of()).containsKey(name)) {
			this.objectsByKind.get(kind).remove(name);
			this.revision++;
			this.changes.add(new Change(kind, this.revision, object(name, Map.of()), true));
			notifyAll();
		}
	}

	private Map<String, Object> object(String name, Object spec) {
		return Map.of("Metadata",
				Map.of("Name", name, "Revision", this.revision, "Finalizers", List.of(), "Deleting", false), "Spec",
				spec);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (!exchange.getRequestMethod().equals("GET") || !path.startsWith(PREFIX)) {
			Http.respondJson(exchange, 404, Map.of());
			return;
		}
		String kind = path.substring(PREFIX.length());
		long watched = Http.number(exchange, "Watch", -1);
		Http.respondJson(exchange, 200,
				(watched >= 0) ? watch(kind, watched, Http.number(exchange, "WaitMs", 0)) : list(kind));
	}

	private synchronized Object list(String kind) {
		return Map.of("Items", List.copyOf(this.objectsByKind.getOrDefault(kind, Map.of()).values()), "HasMore", false,
				"AsOf", this.revision);
	}

	private synchronized Object watch(String kind, long from, long waitMillis) {
		long endNanos = System.nanoTime() + waitMillis * 1_000_000;
		try {
			while (events(kind, from).isEmpty() && System.nanoTime() < endNanos) {
				wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return Map.of("events", events(kind, from), "AsOf", this.revision);
	}

	private List<Object> events(String kind, long from) {
		List<Object> events = new ArrayList<>();
		this.changes.stream()
			.filter((change) -> change.kind().equals(kind) && change.revision() > from)
			.forEach((change) -> events.add(Map.of("Object", change.object(), "Deleted", change.deleted())));
		return events;
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private record Change(String kind, long revision, Object object, boolean deleted) {
	}

}
