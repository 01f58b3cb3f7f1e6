package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of a sound engine of a plain service: it answers each request after a while.
 */
final class PlainServer implements AutoCloseable {

	private static final double WORK_SECONDS = 0.02;

	private static final int SLOTS = 64;

	private final String id;

	private final HttpServer server;

	private final AtomicInteger running = new AtomicInteger();

	PlainServer(String id, String service, InetSocketAddress address, String zone, Store store) {
		this.id = id;
		this.server = Http.serve(address, this::handle);
		store.put("servers", id,
				Map.of("Service", service, "Address", address.getAddress().getHostAddress() + ":" + address.getPort(),
						"Zone", zone, "Version", "v1", "Slots", SLOTS, "State", "ready", "ColdLeftMs", 0, "Sequence", 0,
						"born", System.currentTimeMillis()));
	}

	private void handle(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		String attempt = String.valueOf(exchange.getRequestHeaders().getFirst("X-Attempt-Id"));
		String instance = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
		exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
		exchange.getResponseHeaders().set("X-Served-By", this.id);
		boolean misdirected = instance != null && !instance.equals(this.id);
		if (misdirected || this.running.incrementAndGet() > SLOTS) {
			if (!misdirected) {
				this.running.decrementAndGet();
			}
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			Http.respond(exchange, misdirected ? 421 : 503, new byte[0]);
			return;
		}
		try {
			Pause.seconds(WORK_SECONDS);
			exchange.getResponseHeaders().set("X-Response-Seal", "seal." + attempt);
			Http.respond(exchange, 200, ("answer to " + attempt).getBytes(StandardCharsets.US_ASCII));
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
