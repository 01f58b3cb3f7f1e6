package org.jaywood.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Fake of one of the platform's engines and of the origin of its weights: it answers
 * calls with a stream of two events, stores staged weights and loads them when ordered.
 * It can be crashed by a part of a prompt, and then starts again.
 */
final class FakePlatformEngine implements AutoCloseable {

	static final String MODEL = "model";

	private static final int LAYERS = 16;

	/** Time for which a crashed engine is down. */
	private static final long DOWN_MILLIS = 1_000;

	private final String id;

	private final Address listen;

	private final EventLog log;

	private volatile HttpPort port;

	private final FakeStagingArea staging;

	private final List<Call> executedCalls = new CopyOnWriteArrayList<>();

	private final List<String> loadOrders = new CopyOnWriteArrayList<>();

	private final List<FakeStagingArea.Load> loads = new CopyOnWriteArrayList<>();

	private volatile long orderDelayMillis;

	private volatile long reportDelayMillis;

	private volatile long version = 1;

	private volatile int heldLayers = LAYERS;

	private volatile long sequence;

	private volatile long bornMillis = 1;

	private volatile @Nullable String crashingPart;

	private volatile Runnable onRestart = () -> {
	};

	private final List<Long> crashNanos = new CopyOnWriteArrayList<>();

	private final AtomicBoolean crashed = new AtomicBoolean();

	private volatile long eventIntervalMillis;

	private volatile boolean leaving;

	/** Values of the headers that name a limit, in each response. */
	private volatile List<String> limitHeaders = List.of();

	private volatile long pausedUntilNanos = System.nanoTime();

	private volatile long suspendedUntilNanos = System.nanoTime();

	private volatile Flood flood = Flood.HEAD;

	private volatile long floodUntilNanos = System.nanoTime();

	/**
	 * Starts an engine that serves version 1.
	 * @param staging its staging area, which also has the weights of the origin
	 */
	FakePlatformEngine(String id, Address listen, FakeStagingArea staging, EventLog log) {
		this.id = id;
		this.listen = listen;
		this.staging = staging;
		this.log = log;
		this.port = open();
	}

	private HttpPort open() {
		return HttpPort.open(this.listen, this.log)
			.route("GET", "/report", this::sendReport)
			.route("PUT", "/stage-put/", this.staging::write)
			.route("GET", "/stage-get/", this.staging::read)
			.route("POST", "/order", this::order)
			.route("GET", "/manifest/", this.staging::sendManifest)
			.route("GET", "/piece/", this.staging::sendChunk)
			.route("*", "/calls/", this::call)
			.start();
	}

	/**
	 * Has the engine crash when it begins to answer a call whose prompt has a part.
	 * @param restarted run when the engine has started again
	 */
	void crashOn(String part, Runnable restarted) {
		this.crashingPart = part;
		this.onRestart = restarted;
	}

	/**
	 * Crashes the engine and starts it again after a while.
	 */
	void crash() {
		if (this.crashed.compareAndSet(false, true)) {
			this.crashNanos.add(System.nanoTime());
			Thread.ofVirtual().start(this::restart);
		}
	}

	private void restart() {
		try {
			this.port.close();
			Thread.sleep(DOWN_MILLIS);
			this.bornMillis++;
			this.sequence = 0;
			this.port = open();
			this.crashed.set(false);
			this.onRestart.run();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the times at which the engine crashed.
	 */
	List<Long> crashNanos() {
		return this.crashNanos;
	}

	/**
	 * Sets the time between the two events of an answer.
	 */
	void setEventIntervalMillis(long millis) {
		this.eventIntervalMillis = millis;
	}

	/**
	 * Sets whether the engine says in all its answers that it leaves.
	 */
	void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	/**
	 * Sets the limits on calls a second that the engine names in its responses, none if
	 * it names no limit.
	 */
	void setLimitHeaders(String... values) {
		this.limitHeaders = List.of(values);
	}

	/**
	 * Has the engine turn calls away for a time, with a request for a pause of that time.
	 */
	void requestPause(long millis) {
		this.pausedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Starts the engine again under its id, without a notice of leaving.
	 */
	void restartAfterLeaving() {
		this.bornMillis++;
		this.leaving = false;
	}

	/**
	 * Suspends all answers for a time, as a healthy engine may.
	 */
	void suspendAnswers(long millis) {
		this.suspendedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Has the engine respond to calls with bytes without end for a time. It runs none of
	 * these calls.
	 */
	void flood(Flood kind, long millis) {
		this.flood = kind;
		this.floodUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void awaitEndOfSuspension() throws InterruptedException {
		TimeUnit.NANOSECONDS.sleep(this.suspendedUntilNanos - System.nanoTime());
	}

	List<Call> executedCalls() {
		return this.executedCalls;
	}

	/**
	 * Returns one line for each accepted order: the version, and whether the right chunks
	 * were staged.
	 */
	List<String> loadOrders() {
		return this.loadOrders;
	}

	/**
	 * Returns what was loaded by each accepted order.
	 */
	List<FakeStagingArea.Load> loads() {
		return this.loads;
	}

	/**
	 * Whether the engine holds all layers of a version.
	 */
	boolean holds(long wholeVersion) {
		return this.version == wholeVersion && this.heldLayers == LAYERS;
	}

	FakeStagingArea staging() {
		return this.staging;
	}

	/**
	 * Crashes the engine and starts it again at once: it serves nothing, and its staged
	 * chunks are kept.
	 */
	void restartWithoutWeights() {
		this.bornMillis++;
		this.sequence = 0;
		this.version = 0;
		this.heldLayers = 0;
	}

	/**
	 * Has each report take a time.
	 */
	void setReportDelayMillis(long millis) {
		this.reportDelayMillis = millis;
	}

	/**
	 * Has each order wait before the engine accepts or refuses it.
	 */
	void setOrderDelayMillis(long millis) {
		this.orderDelayMillis = millis;
	}

	Map<String, Object> entry(String service) {
		return Map.of("Service", service, "Address", this.port.address().toString(), "Zone", "zone-a", "Version", "1",
				"Slots", 16, "State", "ready", "ColdLeftMs", 0, "Sequence", 1, "born", this.bornMillis, "Models",
				models());
	}

	private void sendReport(Exchange exchange) throws IOException, InterruptedException {
		Thread.sleep(this.reportDelayMillis);
		exchange.respondJson(200, report());
	}

	private Object report() {
		List<Object> layers = (this.version == 0) ? List.of()
				: List.of(Map.of("From", 0, "To", this.heldLayers, "Version", this.version));
		return Map.of("Stage", "both", "Models", models(), "layers", layers, "Busy", false, "Sequence", this.sequence,
				"Queued", 0, "Running", 0, "born", this.bornMillis);
	}

	private List<Object> models() {
		return (this.version == 0) ? List.of()
				: List.of(Map.of("Name", MODEL, "Version", this.version, "Adapters", List.of()));
	}

	private void call(Exchange exchange) throws IOException, InterruptedException {
		String attempt = Objects.requireNonNull(exchange.header("X-Attempt-Id"));
		boolean misdirected = !this.id.equals(exchange.header("X-Expect-Instance"));
		exchange.setHeader("X-Attempt-Id", attempt);
		if (misdirected) {
			exchange.respond(421, "text/plain", new byte[0]);
			return;
		}
		if (this.leaving) {
			exchange.setHeader("Server-Leaving", "1");
		}
		this.limitHeaders.forEach((value) -> exchange.setHeader("Server-Limit", value));
		long pauseMillis = TimeUnit.NANOSECONDS.toMillis(this.pausedUntilNanos - System.nanoTime());
		if (pauseMillis > 0) {
			exchange.setHeader("X-Not-Executed", "1");
			exchange.setHeader("Retry-After", String.format(Locale.ROOT, "%.3f", pauseMillis / 1_000.0));
			exchange.respond(503, "text/plain", new byte[0]);
			return;
		}
		exchange.readBody(PlatformProcesses.MAX_BODY_BYTES);
		if (this.floodUntilNanos - System.nanoTime() > 0) {
			this.flood.send(exchange);
		}
		this.executedCalls.add(new Call(attempt, String.valueOf(exchange.header("X-Tenant")),
				String.valueOf(exchange.header("Authorization")), System.nanoTime()));
		exchange.setHeader("X-Response-Seal", "seal-" + attempt);
		boolean crashing = this.crashingPart != null
				&& String.valueOf(exchange.header("X-Prompt-Prefix")).contains(this.crashingPart);
		try (OutputStream out = exchange.stream(200, "text/event-stream")) {
			if (crashing) {
				out.flush();
				crash();
				Thread.sleep(DOWN_MILLIS);
			}
			if (!"1".equals(exchange.header("Last-Event-Id"))) {
				awaitEndOfSuspension();
				out.write("id: 1\ndata: one\n\n".getBytes(StandardCharsets.US_ASCII));
				out.flush();
			}
			Thread.sleep(this.eventIntervalMillis);
			awaitEndOfSuspension();
			out.write("id: 2\ndata: two\n\n".getBytes(StandardCharsets.US_ASCII));
		}
	}

	private void order(Exchange exchange) throws IOException, InterruptedException {
		JsonNode order = exchange.readJson(JsonNode.class, FakeStagingArea.MAX_BODY_BYTES);
		Thread.sleep(this.orderDelayMillis);
		if (accept(order)) {
			exchange.respondJson(202, Map.of());
		}
		else {
			exchange.respondError(409, "another sequence");
		}
	}

	private synchronized boolean accept(JsonNode order) {
		if (order.path("Precondition").asLong() != this.sequence) {
			return false;
		}
		long orderedVersion = order.path("Version").asLong();
		int firstLayer = (orderedVersion == this.version) ? this.heldLayers : 0;
		int endLayer = order.path("To").asInt(LAYERS);
		FakeStagingArea.Load load = this.staging.load(orderedVersion, firstLayer, endLayer, LAYERS);
		this.sequence++;
		this.version = orderedVersion;
		this.heldLayers = endLayer;
		this.loads.add(load);
		this.loadOrders.add(orderedVersion + (load.badAgesMillis().isEmpty() ? " whole" : " corrupt"));
		return true;
	}

	@Override
	public void close() {
		this.port.close();
	}

	/**
	 * Kind of bytes without end.
	 */
	enum Flood {

		/** Headers, as many as the server accepts. */
		HEAD(""),

		/** A body that is no event stream. */
		BODY("no event ".repeat(1_000)),

		/** An event that grows. */
		EVENT("data: a\n".repeat(1_000)),

		/** Comments without an event. */
		COMMENTS(": a\n\n".repeat(1_000));

		private static final int HEADERS = 90;

		private static final int HEADER_BYTES = 15_000;

		private final byte[] bytes;

		Flood(String text) {
			this.bytes = text.getBytes(StandardCharsets.US_ASCII);
		}

		/**
		 * Sends until the other side closes the connection.
		 */
		private void send(Exchange exchange) throws IOException {
			if (this == HEAD) {
				IntStream.range(0, HEADERS)
					.forEach((number) -> exchange.setHeader("X-Fill-" + number, "a".repeat(HEADER_BYTES)));
			}
			try (OutputStream out = exchange.stream(200, "text/event-stream")) {
				while (true) {
					out.write((this == HEAD) ? COMMENTS.bytes : this.bytes);
				}
			}
		}

	}

	/**
	 * Call that the engine executed.
	 *
	 * @param attempt id of the attempt
	 * @param workspace workspace that the gateway sent
	 * @param authorization key of the caller, which the gateway must not forward
	 * @param arrivedNanos time of its arrival
	 */
	record Call(String attempt, String workspace, String authorization, long arrivedNanos) {
	}

}
