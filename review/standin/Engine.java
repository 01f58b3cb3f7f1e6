package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of a model engine: it stages chunks without checking them, loads what is staged
 * when an order is accepted, and answers calls with a stream of events. Each start is a new
 * incarnation with a new id.
 */
final class Engine implements AutoCloseable {

	private static final double WARM_SECONDS = 0.3;

	private static final double EVENT_SECONDS = 0.03;

	private static final int EVENTS = 5;

	private static final int SLOTS = 16;

	/** Time after which the entry of an engine that sends nothing is removed. */
	private static final double ENTRY_LAPSE_SECONDS = 3.6;

	/** Interval at which an engine writes its entry, at most. */
	private static final double BEAT_SECONDS = 1.2;

	/** Age up to which a chunk that turned bad in the staging area is excused. */
	private static final double EXCUSED_SECONDS = 3;

	private final String name;

	private final InetSocketAddress address;

	private final String zone;

	private final Store store;

	private final Trace trace;

	private HttpServer server;

	private int starts;

	private String id = "";

	private long bornMillis;

	private long sequence;

	private boolean busy;

	private long version;

	/** Chunks of the loaded weights that were bad when they were taken, with their age. */
	private Map<Integer, Double> badLoaded = Map.of();

	private final Map<Integer, byte[]> staged = new HashMap<>();

	private final Map<Integer, Double> badSinceSeconds = new TreeMap<>();

	private volatile int stageCalls;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger tokenEventsOfBadWeights = new AtomicInteger();

	private volatile boolean up;

	private volatile boolean suspended;

	Engine(String name, InetSocketAddress address, String zone, Store store, Trace trace) {
		this.name = name;
		this.address = address;
		this.zone = zone;
		this.store = store;
		this.trace = trace;
	}

	/**
	 * Starts the engine.
	 * @param startVersion version that it holds and has staged, 0 for none
	 */
	synchronized void start(long startVersion) {
		this.starts++;
		this.id = "i-" + this.name + "-" + this.starts;
		this.bornMillis = System.currentTimeMillis();
		this.sequence = 0;
		this.busy = false;
		this.version = startVersion;
		for (int index = 0; startVersion > 0 && index < Weights.CHUNKS; index++) {
			this.staged.put(index, Weights.chunk(startVersion, index));
		}
		this.up = true;
		this.server = Http.serve(this.address, this::handle);
		publish();
		this.trace.log("%s starts as %s, version %d", this.name, this.id, startVersion);
	}

	/**
	 * Loss of power: connections end, weights and staged chunks are lost, and the entry in
	 * the store lapses.
	 */
	synchronized void losePower() {
		this.up = false;
		this.server.stop(0);
		this.staged.clear();
		this.badSinceSeconds.clear();
		this.badLoaded = Map.of();
		this.version = 0;
		String ended = this.id;
		Thread.ofVirtual().start(() -> {
			Pause.seconds(ENTRY_LAPSE_SECONDS);
			this.store.delete("servers", ended);
		});
		this.trace.log("%s loses power", this.name);
	}

	/**
	 * Suspends the engine together with its machine: it does nothing until
	 * {@link #resume}, and its entry in the store lapses.
	 */
	void suspend() {
		this.suspended = true;
		String silent = this.id;
		Thread.ofVirtual().start(() -> {
			Pause.seconds(ENTRY_LAPSE_SECONDS - BEAT_SECONDS);
			if (this.suspended) {
				this.store.delete("servers", silent);
			}
		});
		this.trace.say("%s is suspended", this.name);
	}

	void resume() {
		this.suspended = false;
		publish();
		this.trace.say("%s goes on", this.name);
	}

	private void awaitResumption() {
		while (this.suspended) {
			Pause.seconds(0.001);
		}
	}

	/**
	 * Has staged chunks turn bad.
	 */
	synchronized void spoilStaged(List<Integer> indexes) {
		for (int index : indexes) {
			byte[] chunk = this.staged.get(index);
			if (chunk != null) {
				byte[] bad = chunk.clone();
				bad[new Random(index).nextInt(bad.length)] ^= 0x55;
				this.staged.put(index, bad);
				this.badSinceSeconds.put(index, this.trace.nowSeconds());
			}
		}
		this.trace.say("%s: staged chunks %s turn bad", this.name, indexes);
	}

	/**
	 * Returns the number of reads and writes of staged chunks so far.
	 */
	int stageCalls() {
		return this.stageCalls;
	}

	synchronized long version() {
		return this.version;
	}

	synchronized boolean busy() {
		return this.busy;
	}

	int tokenEventsOfBadWeights() {
		return this.tokenEventsOfBadWeights.get();
	}

	private synchronized void publish() {
		Map<String, Object> entry = new HashMap<>(Map.of("Service", "pool", "Address",
				this.address.getAddress().getHostAddress() + ":" + this.address.getPort(), "Zone", this.zone, "Version",
				"v1", "Slots", SLOTS, "State", "ready", "ColdLeftMs", 0, "Stage", "both", "Sequence", this.sequence,
				"born", this.bornMillis));
		entry.putAll(weights());
		this.store.put("servers", this.id, entry);
	}

	private Map<String, Object> weights() {
		if (this.version == 0) {
			return Map.of("Models", List.of());
		}
		return Map.of("Models", List.of(Map.of("Name", Weights.MODEL, "Version", this.version, "Adapters", List.of())),
				"layers", List.of(Map.of("From", 0, "To", Weights.LAYERS, "Version", this.version)));
	}

	private void handle(HttpExchange exchange) throws IOException {
		awaitResumption();
		String path = exchange.getRequestURI().getPath();
		if (path.equals("/report")) {
			Http.respondJson(exchange, 200, report());
		}
		else if (path.startsWith("/stage-put/")) {
			stage(exchange);
		}
		else if (path.startsWith("/stage-get/")) {
			sendStaged(exchange);
		}
		else if (path.equals("/order")) {
			order(exchange);
		}
		else if (path.equals("/health")) {
			exchange.getResponseHeaders().set("X-Served-By", this.id);
			Http.respond(exchange, 200, new byte[0]);
		}
		else {
			call(exchange);
		}
	}

	private synchronized Object report() {
		Map<String, Object> report = new HashMap<>(Map.of("Stage", "both", "Busy", this.busy, "Sequence", this.sequence,
				"Queued", 0, "Running", this.running.get(), "KvUsed", 0, "KvTotal", 685_000, "Handles", 0, "born",
				this.bornMillis, "pace", 1.0));
		report.putAll(weights());
		return report;
	}

	private void stage(HttpExchange exchange) throws IOException {
		byte[] chunk = exchange.getRequestBody().readAllBytes();
		int index = (int) Http.number(exchange, "SampleCount", 0);
		synchronized (this) {
			this.staged.put(index, chunk);
			this.badSinceSeconds.remove(index);
			this.stageCalls++;
		}
		Http.respondJson(exchange, 200, Map.of());
	}

	private void sendStaged(HttpExchange exchange) throws IOException {
		byte[] chunk;
		synchronized (this) {
			chunk = this.staged.get((int) Http.number(exchange, "SampleCount", 0));
			this.stageCalls++;
		}
		Http.respond(exchange, (chunk != null) ? 200 : 404, (chunk != null) ? chunk : new byte[0]);
	}

	private void order(HttpExchange exchange) throws IOException {
		JsonNode order = Json.tree(exchange.getRequestBody().readAllBytes());
		int status = accept(order);
		this.trace.log("%s answers %d to order %s", this.name, status, order);
		Http.respondJson(exchange, status, Map.of());
	}

	private synchronized int accept(JsonNode order) {
		if (this.busy || (order.has("Precondition") && order.get("Precondition").asLong() != this.sequence)) {
			return 409;
		}
		long ordered = order.path("Version").asLong();
		Map<Integer, Double> bad = badStaged(ordered);
		this.sequence++;
		this.busy = true;
		String incarnation = this.id;
		Thread.ofVirtual().start(() -> load(incarnation, ordered, bad));
		return 202;
	}

	/**
	 * Returns the staged chunks that are not those of a version, with the seconds since
	 * they turned bad, infinite if they never were good.
	 */
	private Map<Integer, Double> badStaged(long ordered) {
		Map<Integer, Double> bad = new TreeMap<>();
		for (int index = 0; index < Weights.CHUNKS; index++) {
			if (!Arrays.equals(this.staged.get(index), Weights.chunk(ordered, index))) {
				Double since = this.badSinceSeconds.get(index);
				bad.put(index, (since != null) ? this.trace.nowSeconds() - since : Double.POSITIVE_INFINITY);
			}
		}
		return bad;
	}

	private void load(String incarnation, long ordered, Map<Integer, Double> bad) {
		Pause.until("running calls end", 10, () -> this.running.get() == 0);
		Pause.seconds(WARM_SECONDS);
		synchronized (this) {
			if (!this.up || !this.id.equals(incarnation)) {
				return;
			}
			this.version = ordered;
			this.badLoaded = bad;
			this.busy = false;
			publish();
		}
		this.trace.say("%s holds version %d; chunks that were bad when taken, with seconds since: %s", this.name,
				ordered, bad);
	}

	private void call(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		String attempt = String.valueOf(exchange.getRequestHeaders().getFirst("X-Attempt-Id"));
		exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
		int refusal = refusal(exchange);
		if (refusal != 0) {
			this.trace.log("%s refuses %s with %d", this.name, attempt, refusal);
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			exchange.getResponseHeaders().set("At-Server", this.id);
			Http.respond(exchange, refusal, new byte[0]);
			return;
		}
		try {
			run(exchange, attempt);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private synchronized int refusal(HttpExchange exchange) {
		String instance = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
		String expected = exchange.getRequestHeaders().getFirst("X-Expect-Version");
		if (instance != null && !instance.equals(this.id)) {
			return 421;
		}
		if (expected != null && Long.parseLong(expected) != this.version) {
			return 421;
		}
		if (this.version == 0 || this.busy || this.running.get() >= SLOTS) {
			return 503;
		}
		this.running.incrementAndGet();
		return 0;
	}

	private void run(HttpExchange exchange, String attempt) throws IOException {
		long ran;
		Map<Integer, Double> bad;
		synchronized (this) {
			ran = this.version;
			bad = this.badLoaded;
		}
		this.trace.log("%s runs %s on version %d", this.name, attempt, ran);
		exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
		exchange.getResponseHeaders().set("X-Response-Seal", "seal." + attempt);
		exchange.getResponseHeaders().set("X-Weight-Versions", Long.toString(ran));
		exchange.sendResponseHeaders(200, 0);
		String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
		OutputStream out = exchange.getResponseBody();
		for (int event = (last != null) ? Integer.parseInt(last) + 1 : 1; event <= EVENTS; event++) {
			Pause.seconds(EVENT_SECONDS);
			awaitResumption();
			out.write(("id: " + event + "\ndata: token " + event + "\n\n").getBytes(StandardCharsets.US_ASCII));
			out.flush();
			recordToken(attempt, ran, event, bad);
		}
	}

	private void recordToken(String attempt, long ran, int event, Map<Integer, Double> bad) {
		List<Integer> unexcused = bad.entrySet()
			.stream()
			.filter((chunk) -> chunk.getValue() > EXCUSED_SECONDS)
			.map(Map.Entry::getKey)
			.toList();
		if (!unexcused.isEmpty()) {
			this.tokenEventsOfBadWeights.incrementAndGet();
			this.trace.log("%s makes event %d of %s on version %d with bad chunks %s", this.name, event, attempt, ran,
					unexcused);
		}
	}

	@Override
	public void close() {
		if (this.up) {
			this.server.stop(0);
		}
	}

}
