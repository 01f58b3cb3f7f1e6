import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of a model engine: loads staged pieces on an order, and answers requests with streams of events. */
final class Engine implements AutoCloseable {

	/** Kept below the limit of the site's engines on connections from all callers. */
	private static final int BACKLOG = 256;

	private static final AtomicLong NEXT_ID = new AtomicLong(1 + System.nanoTime() % 1_000_000);

	final String id = "i-" + Long.toHexString(NEXT_ID.incrementAndGet());

	final long bornMillis = System.currentTimeMillis();

	final String address;

	private final Store store;

	private final Record record;

	private final String service;

	private final String zone;

	private final String model;

	private final int slots;

	private final int events;

	private final long gapMillis;

	private final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();

	private final AtomicInteger running = new AtomicInteger();

	private final HttpServer server;

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private volatile long version;

	private volatile boolean busy;

	private volatile boolean draining;

	private volatile boolean closed;

	private long sequence;

	/** One in this many streams has a wrong byte in the id of one event, 0 for none. */
	private volatile int streamsPerWrongByte;

	private final AtomicInteger streams = new AtomicInteger();

	/** Requests that this engine ran. */
	final AtomicInteger ran = new AtomicInteger();

	/**
	 * Starts an engine, which registers itself.
	 * @param version version that it holds and that is staged, 0 for none
	 */
	Engine(String host, int port, Store store, Record record, String service, String zone, String model, int slots,
			int events, long gapMillis, long version) throws IOException {
		this.address = host + ":" + port;
		this.store = store;
		this.record = record;
		this.service = service;
		this.zone = zone;
		this.model = model;
		this.slots = slots;
		this.events = events;
		this.gapMillis = gapMillis;
		this.version = version;
		for (int index = 0; version > 0 && index < Weights.PIECES; index++) {
			this.staged.put(index, Weights.piece(version, index));
		}
		this.server = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
		this.server.setExecutor(this.executor);
		this.server.createContext("/report", (exchange) -> Store.respond(exchange, 200, Json.write(report())));
		this.server.createContext("/health", this::health);
		this.server.createContext("/stage-put/", this::put);
		this.server.createContext("/stage-get/", this::get);
		this.server.createContext("/order", this::order);
		this.server.createContext("/", this::request);
		this.server.start();
		publish();
	}

	private Map<String, Object> state() {
		Map<String, Object> state = new LinkedHashMap<>();
		List<Object> models = new ArrayList<>();
		List<Object> layers = new ArrayList<>();
		long held = this.version;
		if (held > 0) {
			models.add(Map.of("Name", this.model, "Version", held, "Adapters", List.of()));
			layers.add(Map.of("From", 0, "To", Weights.LAYERS, "Version", held));
		}
		state.put("Stage", "both");
		state.put("Models", models);
		state.put("layers", layers);
		state.put("born", this.bornMillis);
		return state;
	}

	private Map<String, Object> report() {
		Map<String, Object> report = state();
		int now = this.running.get();
		report.put("Busy", this.busy);
		synchronized (this) {
			report.put("Sequence", this.sequence);
		}
		report.put("Queued", Math.max(0, now - this.slots));
		report.put("Running", Math.min(now, this.slots));
		report.put("KvUsed", 1_000 * now);
		report.put("KvTotal", 685_000 * Weights.LAYERS);
		report.put("Handles", 0);
		report.put("pace", 1.0);
		return report;
	}

	/** Writes the entry of this engine into the store. */
	private void publish() {
		Map<String, Object> spec = new LinkedHashMap<>();
		spec.put("Service", this.service);
		spec.put("Address", this.address);
		spec.put("Zone", this.zone);
		spec.put("Version", "v1");
		spec.put("Slots", this.slots);
		spec.put("State", this.draining ? "draining" : "ready");
		spec.put("ColdLeftMs", 0);
		spec.putAll(state());
		this.store.put("servers", this.id, spec);
	}

	/** Has this engine hand out a wrong byte in one of so many streams, or in none for 0. */
	void garble(int streamsPerWrongByte) {
		this.streamsPerWrongByte = streamsPerWrongByte;
	}

	/** Returns the number of the event whose id is to be spoilt in the next stream, 0 for none. */
	private int spoiltEvent(String attempt) {
		int period = this.streamsPerWrongByte;
		boolean spoil = period > 0 && this.streams.incrementAndGet() % period == 0;
		if (spoil) {
			this.record.line("engine %s: the id of event 5 of %s has a wrong byte: 8", this.id, attempt);
		}
		return spoil ? 5 : 0;
	}

	private void health(HttpExchange exchange) throws IOException {
		exchange.getResponseHeaders().set("X-Served-By", this.id);
		Store.respond(exchange, this.draining ? 503 : 200, "{}");
	}

	private void put(HttpExchange exchange) throws IOException {
		byte[] bytes = exchange.getRequestBody().readAllBytes();
		this.staged.put(index(exchange), bytes);
		Store.respond(exchange, 200, "{}");
	}

	private void get(HttpExchange exchange) throws IOException {
		byte[] bytes = this.staged.get(index(exchange));
		if (bytes == null) {
			Store.respond(exchange, 404, "{}");
			return;
		}
		exchange.sendResponseHeaders(200, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private static int index(HttpExchange exchange) {
		return Integer.parseInt(Store.query(exchange.getRequestURI().getRawQuery()).get("SampleCount"));
	}

	private void order(HttpExchange exchange) throws IOException {
		Map<String, Object> order = Json
			.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
		long wanted = (Long) order.get("Version");
		int status;
		synchronized (this) {
			Object expected = order.get("Precondition");
			if (!"start".equals(order.get("Op")) || order.containsKey("From")) {
				status = 400;
			}
			else if (this.version == wanted) {
				status = 200;
			}
			else if (this.busy || (expected != null && (Long) expected != this.sequence)
					|| this.staged.size() < Weights.PIECES) {
				status = 409;
			}
			else {
				status = 202;
				this.sequence++;
				this.busy = true;
			}
		}
		this.record.line("engine %s: order for version %d: %d", this.id, wanted, status);
		Store.respond(exchange, status, "{}");
		if (status == 202) {
			this.executor.execute(() -> load(wanted));
		}
	}

	private void load(long wanted) {
		sleep(300);
		this.version = wanted;
		this.busy = false;
		if (!this.closed) {
			publish();
			this.record.say("engine %s serves version %d", this.id, wanted);
		}
	}

	/** Runs a request: a stream of events. */
	private void request(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
		String instance = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
		String wanted = exchange.getRequestHeaders().getFirst("X-Expect-Version");
		if (attempt == null) {
			refuse(exchange, 400, null);
			return;
		}
		long held = this.version;
		if ((instance != null && !instance.equals(this.id)) || (wanted != null && !wanted.equals("" + held))) {
			refuse(exchange, 421, attempt);
			return;
		}
		if (held == 0 || this.busy || this.running.get() >= 3 * this.slots) {
			refuse(exchange, 503, attempt);
			return;
		}
		this.running.incrementAndGet();
		try {
			this.ran.incrementAndGet();
			exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
			exchange.getResponseHeaders().set("X-Response-Seal", this.id + "." + attempt);
			exchange.getResponseHeaders().set("X-Weight-Versions", "" + held);
			exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
			exchange.sendResponseHeaders(200, 0);
			OutputStream out = exchange.getResponseBody();
			String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
			int first = (last != null) ? 1 + Integer.parseInt(last) : 1;
			int spoilt = (first == 1) ? spoiltEvent(attempt) : 0;
			for (int event = first; event <= this.events; event++) {
				sleep(this.gapMillis);
				out.write(("id: " + ((event == spoilt) ? 8 : event) + "\ndata: " + attempt + " " + event + " of " + this.events + "\n\n")
					.getBytes(StandardCharsets.UTF_8));
				out.flush();
			}
			exchange.close();
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private static void refuse(HttpExchange exchange, int status, String attempt) throws IOException {
		if (attempt != null) {
			exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
		}
		exchange.getResponseHeaders().set("X-Not-Executed", "1");
		Store.respond(exchange, status, "{}");
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Ends the process of this engine; its connections close. */
	@Override
	public void close() {
		this.closed = true;
		this.server.stop(0);
		this.executor.shutdownNow();
	}

}
