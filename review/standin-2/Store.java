import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of the platform's metadata store: lists, watches and writes of objects. */
final class Store implements AutoCloseable {

	private record Change(long revision, String kind, String name, boolean deleted, Map<String, Object> object) {
	}

	private final HttpServer server;

	private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private long revision = 1;

	/** Second address of the same store, for the machines that it can turn away. */
	private HttpServer secondServer;

	private volatile boolean secondBusy;

	Store(String host, int port) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(host, port), 256);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/objects/", this::handle);
		this.server.start();
	}

	/** Opens the address at which the store can turn machines away. */
	void openSecond(String host, int port) throws IOException {
		this.secondServer = HttpServer.create(new InetSocketAddress(host, port), 256);
		this.secondServer.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.secondServer.createContext("/objects/", this::handle);
		this.secondServer.start();
	}

	/** Has the calls at the second address answered 503, waiting watches too, or serves them again. */
	synchronized void setSecondBusy(boolean busy) {
		this.secondBusy = busy;
		notifyAll();
	}

	private boolean turnsAway(HttpExchange exchange) {
		return this.secondBusy && this.secondServer != null
				&& exchange.getLocalAddress().equals(this.secondServer.getAddress());
	}

	/** Writes an object, as the operator and the servers do. */
	synchronized void put(String kind, String name, Map<String, Object> spec) {
		TreeMap<String, Map<String, Object>> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Map<String, Object> before = objects.get(name);
		if (before != null && before.get("Spec").equals(spec)) {
			return;
		}
		this.revision++;
		Map<String, Object> metadata = new LinkedHashMap<>();
		metadata.put("Name", name);
		metadata.put("Revision", this.revision);
		metadata.put("Created", this.revision);
		metadata.put("Finalizers", List.of());
		metadata.put("Deleting", false);
		Map<String, Object> object = new LinkedHashMap<>();
		object.put("Metadata", metadata);
		object.put("Spec", spec);
		object.put("Status", null);
		objects.put(name, object);
		this.history.add(new Change(this.revision, kind, name, false, object));
		notifyAll();
	}

	synchronized void remove(String kind, String name) {
		Map<String, Object> object = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).remove(name);
		if (object != null) {
			this.revision++;
			this.history.add(new Change(this.revision, kind, name, true, object));
			notifyAll();
		}
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			String[] parts = exchange.getRequestURI().getPath().split("/");
			byte[] body = exchange.getRequestBody().readAllBytes();
			if (turnsAway(exchange)) {
				respond(exchange, 503, "{}");
				return;
			}
			if (parts.length == 3 && exchange.getRequestMethod().equals("GET")) {
				Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
				String answer = query.containsKey("Watch")
						? watch(exchange, parts[2], Long.parseLong(query.get("Watch")),
								Long.parseLong(query.get("WaitMs")))
						: list(parts[2]);
				respond(exchange, turnsAway(exchange) ? 503 : 200, answer);
				return;
			}
			write(exchange, parts, body);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Objects of the system's own kinds are created and read without conditions here. */
	@SuppressWarnings("unchecked")
	private void write(HttpExchange exchange, String[] parts, byte[] body) throws IOException {
		if (exchange.getRequestMethod().equals("POST")) {
			Map<String, Object> object = Json.object(new String(body, StandardCharsets.UTF_8));
			put(parts[2], ((Map<String, Object>) object.get("Metadata")).get("Name").toString(),
					(Map<String, Object>) object.get("Spec"));
			respond(exchange, 201, "{}");
			return;
		}
		respond(exchange, 404, "{}");
	}

	private synchronized String list(String kind) {
		Map<String, Object> page = new LinkedHashMap<>();
		page.put("Items", List.copyOf(this.kinds.getOrDefault(kind, new TreeMap<>()).values()));
		page.put("HasMore", false);
		page.put("AsOf", this.revision);
		return Json.write(page);
	}

	private synchronized String watch(HttpExchange exchange, String kind, long since, long waitMillis)
			throws InterruptedException {
		long endNanos = System.nanoTime() + waitMillis * 1_000_000;
		while (events(kind, since).isEmpty() && System.nanoTime() < endNanos && !turnsAway(exchange)) {
			wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
		}
		Map<String, Object> page = new LinkedHashMap<>();
		page.put("events", events(kind, since));
		page.put("AsOf", this.revision);
		return Json.write(page);
	}

	private List<Object> events(String kind, long since) {
		List<Object> events = new ArrayList<>();
		for (int i = this.history.size() - 1; i >= 0 && this.history.get(i).revision() > since; i--) {
			Change change = this.history.get(i);
			if (change.kind().equals(kind)) {
				Map<String, Object> event = new LinkedHashMap<>();
				event.put("Deleted", change.deleted());
				event.put("Object", change.object());
				events.addFirst(event);
			}
		}
		return events;
	}

	static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			String[] parts = pair.split("=", 2);
			query.put(parts[0], (parts.length > 1) ? parts[1] : "");
		}
		return query;
	}

	static void respond(HttpExchange exchange, int status, String json) throws IOException {
		byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
		if (this.secondServer != null) {
			this.secondServer.stop(0);
		}
	}

}
