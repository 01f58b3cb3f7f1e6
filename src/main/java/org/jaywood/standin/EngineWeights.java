package org.jaywood.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.weights.Manifest;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Weights of an engine stand-in and the orders that change them. A load replaces the
 * weights in place, chunk by chunk. Tokens served before the first load, during a load or
 * after one that did not give the ordered weights are counted as {@code impureTokens}.
 * The reported digest is computed from the received bytes, not taken from the order.
 */
final class EngineWeights {

	private static final int BODY_LIMIT_BYTES = 65_536;

	private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(10);

	private final Runnable onLoaded;

	private final AtomicLong impureTokens = new AtomicLong();

	private final AtomicLong loadCount = new AtomicLong();

	private final List<Load> finishedLoads = new CopyOnWriteArrayList<>();

	private final AtomicInteger delayedOrders = new AtomicInteger();

	private final AtomicLong refusedOrders = new AtomicLong();

	private final WireClient client;

	private volatile boolean completeAsOrdered;

	private volatile boolean loading;

	private volatile String digest = "";

	private volatile long fencingToken;

	private volatile boolean checksFencing = true;

	private volatile long loadMillis;

	private volatile long orderDelayMillis;

	EngineWeights(String host, Runnable onLoaded) {
		this.client = WireClient.plain(host);
		this.onLoaded = onLoaded;
	}

	void registerRoutes(HttpPort port, EngineStandin engine) {
		port.route("POST", "/orders", (exchange) -> handleOrder(exchange, engine))
			.route("POST", "/control/weights", this::control);
	}

	/**
	 * Returns the digest of the set of loaded weights, computed from their content;
	 * {@code incomplete} during a load and after a failed one, empty before the first.
	 */
	String digest() {
		return this.digest;
	}

	long fencingToken() {
		return this.fencingToken;
	}

	boolean checksFencing() {
		return this.checksFencing;
	}

	boolean loading() {
		return this.loading;
	}

	/**
	 * Counts a served token as impure unless the weights are complete as ordered.
	 */
	void onTokenServed() {
		if (!this.completeAsOrdered) {
			this.impureTokens.incrementAndGet();
		}
	}

	/**
	 * Returns the fields that the weights add to the record of the engine.
	 */
	Map<String, Object> record() {
		return Map.of("impureTokens", this.impureTokens.get(), "loads", this.loadCount.get(), "refusedOrders",
				this.refusedOrders.get(), "delayedOrders", this.delayedOrders.get(), "finishedLoads",
				this.finishedLoads);
	}

	private void control(Exchange exchange) throws IOException {
		JsonNode request = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		this.checksFencing = request.path("checksFencing").asBoolean(this.checksFencing);
		this.loadMillis = request.path("loadMillis").asLong(this.loadMillis);
		this.orderDelayMillis = request.path("orderDelayMillis").asLong(this.orderDelayMillis);
		exchange.respondJson(200, Map.of());
	}

	private void handleOrder(Exchange exchange, EngineStandin engine) throws IOException, InterruptedException {
		JsonNode order = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		delayOrder();
		if (!acceptFencingToken(order.path("fencing").asLong())) {
			this.refusedOrders.incrementAndGet();
			exchange.respondError(409, "fencing number is old");
			return;
		}
		if (load(order)) {
			exchange.respondJson(200, engine.status());
		}
		else {
			exchange.respondError(500, "load failed; weights are incomplete");
		}
	}

	private void delayOrder() throws InterruptedException {
		this.delayedOrders.incrementAndGet();
		try {
			TimeUnit.MILLISECONDS.sleep(this.orderDelayMillis);
		}
		finally {
			this.delayedOrders.decrementAndGet();
		}
	}

	private synchronized boolean acceptFencingToken(long token) {
		if (this.checksFencing && token < this.fencingToken) {
			return false;
		}
		this.fencingToken = Math.max(this.fencingToken, token);
		return true;
	}

	private synchronized boolean load(JsonNode order) throws InterruptedException {
		long startedMillis = System.currentTimeMillis();
		this.loadCount.incrementAndGet();
		this.loading = true;
		this.completeAsOrdered = false;
		this.digest = "incomplete";
		try {
			List<String> manifests = order.path("manifests").valueStream().map(JsonNode::asText).toList();
			List<ReceivedWeights> loaded = new ArrayList<>();
			for (String manifest : manifests) {
				loaded.add(loadWeights(order.path("source").asText(), manifest));
			}
			this.digest = Digests.ofSet(loaded.stream().map(ReceivedWeights::digest).toList());
			this.completeAsOrdered = this.digest.equals(Digests.ofSet(manifests));
			this.onLoaded.run();
			return true;
		}
		catch (IOException ex) {
			return false;
		}
		finally {
			this.loading = false;
			this.finishedLoads.add(new Load(startedMillis, System.currentTimeMillis()));
		}
	}

	private ReceivedWeights loadWeights(String source, String manifestDigest) throws IOException, InterruptedException {
		Manifest manifest = Json.read(fetch(source + "/manifests/" + manifestDigest), Manifest.class);
		List<String> chunkDigests = new ArrayList<>();
		long delayPerChunkNanos = TimeUnit.MILLISECONDS.toNanos(this.loadMillis) / manifest.chunks().size();
		for (String chunk : manifest.chunks()) {
			chunkDigests.add(Digests.sha256(fetch(source + "/chunks/" + chunk)));
			TimeUnit.NANOSECONDS.sleep(delayPerChunkNanos);
		}
		return new ReceivedWeights(new Manifest(manifest.name(), manifest.version(), manifest.chunkBytes(),
				manifest.totalBytes(), chunkDigests));
	}

	private byte[] fetch(String uri) throws IOException, InterruptedException {
		HttpResponse<byte[]> response = this.client.get(URI.create(uri), FETCH_TIMEOUT);
		if (response.statusCode() != 200) {
			throw new IOException(uri + ": status " + response.statusCode() + ", expected 200");
		}
		return response.body();
	}

	/**
	 * Period of a load, in milliseconds of the epoch.
	 *
	 * @param startedMillis start of the load
	 * @param endedMillis end of the load
	 */
	private record Load(long startedMillis, long endedMillis) {
	}

	/**
	 * Weights that the engine has loaded. Only digests are kept, not the bytes, since
	 * hundreds of stand-ins share a machine.
	 *
	 * @param content manifest computed from the received bytes
	 */
	private record ReceivedWeights(Manifest content) {

		String digest() {
			return this.content.digest();
		}

	}

}
