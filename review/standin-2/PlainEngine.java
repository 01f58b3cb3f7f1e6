import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of an engine of a plain service: runs each request for some milliseconds and answers 800 bytes. */
final class PlainEngine implements AutoCloseable {

	private static final AtomicLong NEXT_ID = new AtomicLong(1 + System.nanoTime() % 1_000_000);

	/**
	 * A request that ran.
	 *
	 * @param atMillis time at which it began to run
	 * @param path path as it arrived
	 * @param authorization key that was passed on, or null
	 */
	record Ran(String attempt, String service, long atMillis, String method, String path, String authorization) {
	}

	private final String id = "p-" + Long.toHexString(NEXT_ID.incrementAndGet());

	private final String service;

	private final Record record;

	private final HttpServer server;

	private final List<Ran> ran = new CopyOnWriteArrayList<>();

	/** Share of the requests that this engine fails after it has run them. */
	private volatile double failedShare;

	/** Status of these failures, which do not say that the request has not run. */
	private volatile int failureStatus;

	PlainEngine(String host, int port, Store store, Record record, String service, String zone) throws IOException {
		this.service = service;
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress(host, port), 100);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/health", (exchange) -> Store.respond(exchange, 200, "{}"));
		this.server.createContext("/", this::request);
		this.server.start();
		Map<String, Object> spec = new LinkedHashMap<>();
		spec.put("Service", service);
		spec.put("Address", host + ":" + port);
		spec.put("Zone", zone);
		spec.put("Version", "v1");
		spec.put("Slots", 6);
		spec.put("State", "ready");
		spec.put("ColdLeftMs", 0);
		spec.put("born", System.currentTimeMillis());
		store.put("servers", this.id, spec);
	}

	List<Ran> ran() {
		return this.ran;
	}

	/** One in this many answers has a wrong byte in the name of its signature, 0 for none. */
	private volatile int answersPerWrongByte;

	private final AtomicLong answers = new AtomicLong();

	/** Has this engine hand out a wrong byte in one of so many answers, or in none for 0. */
	void garble(int answersPerWrongByte) {
		this.answersPerWrongByte = answersPerWrongByte;
	}

	private String sealName(String attempt) {
		int period = this.answersPerWrongByte;
		boolean wrong = period > 0 && this.answers.incrementAndGet() % period == 0;
		if (wrong) {
			this.record.line("service %s: the answer to %s has a wrong byte in the name of its signature", this.service,
					attempt);
		}
		return wrong ? "X-Respknse-Seal" : "X-Response-Seal";
	}

	/** Has this engine fail a share of its requests, while its health check stays good. */
	void failShare(double share, int status) {
		this.failureStatus = status;
		this.failedShare = share;
	}

	private void request(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
		String instance = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
		if (attempt == null || (instance != null && !instance.equals(this.id))) {
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			Store.respond(exchange, (attempt == null) ? 400 : 421, "{}");
			return;
		}
		this.ran.add(new Ran(attempt, this.service, this.record.millis(), exchange.getRequestMethod(),
				exchange.getRequestURI().toString(), exchange.getRequestHeaders().getFirst("Authorization")));
		this.record.line("service %s: runs %s, %s %s", this.service, attempt, exchange.getRequestMethod(),
				exchange.getRequestURI());
		Engine.sleep(21);
		exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
		exchange.getResponseHeaders().set(sealName(attempt), this.id + "." + attempt);
		byte[] body = new byte[800];
		java.util.Arrays.fill(body, (byte) 'x');
		boolean failed = ThreadLocalRandom.current().nextDouble() < this.failedShare;
		if (failed) {
			this.record.line("service %s: has run %s and answers %d", this.service, attempt, this.failureStatus);
		}
		exchange.sendResponseHeaders(failed ? this.failureStatus : 200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
