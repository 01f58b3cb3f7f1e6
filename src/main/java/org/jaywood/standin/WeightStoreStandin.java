package org.jaywood.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Stand-in of the weight store, the origin of the weights. Counts the requests and bytes
 * of each chunk, limits the rates of requests and bytes, and can corrupt or delay
 * responses.
 */
public final class WeightStoreStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 65_536;

	private static final int WRITE_BLOCK_BYTES = 16 * 1024;

	private final Map<String, byte[]> manifests = new ConcurrentHashMap<>();

	private final Map<String, byte[]> chunks = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> requestsByChunk = new ConcurrentHashMap<>();

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicLong chunkRequests = new AtomicLong();

	private final AtomicLong refusedRequests = new AtomicLong();

	private final HttpPort port;

	private volatile Faults faults = new Faults(0, 0, 0, 0, false);

	private long linkFreeAtNanos = System.nanoTime();

	private long rateWindowStartNanos = System.nanoTime();

	private long requestsInRateWindow;

	public WeightStoreStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("GET", "/manifests/", this::sendManifest)
			.route("GET", "/chunks/", this::sendChunk)
			.route("POST", "/control/weights", this::addWeights)
			.route("POST", "/control", this::control)
			.route("GET", "/record", (exchange) -> exchange.respondJson(200, record()))
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	/**
	 * Adds weights to the store.
	 * @return digest of the manifest
	 */
	public String add(SyntheticWeights weights) {
		IntStream.range(0, weights.chunks().size())
			.forEach((index) -> this.chunks.put(weights.manifest().chunks().get(index), weights.chunks().get(index)));
		String digest = weights.manifest().digest();
		this.manifests.put(digest, weights.manifest().toBytes());
		return digest;
	}

	private Map<String, Object> record() {
		Map<String, Map<String, Long>> byChunk = new ConcurrentHashMap<>();
		this.requestsByChunk.forEach((chunk, count) -> byChunk.put(chunk,
				Map.of("requests", count.get(), "bytes", count.get() * sizeOf(chunk))));
		return Map.of("sentBytes", this.sentBytes.get(), "chunkRequests", this.chunkRequests.get(), "refused",
				this.refusedRequests.get(), "chunks", byChunk);
	}

	private long sizeOf(String chunk) {
		byte[] content = this.chunks.get(chunk);
		return (content != null) ? content.length : 0;
	}

	private void addWeights(Exchange exchange) throws IOException {
		JsonNode request = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		SyntheticWeights weights = SyntheticWeights.generate(request.path("name").asText(),
				request.path("version").asText(), request.path("totalBytes").asLong(),
				request.path("chunkBytes").asInt());
		exchange.respondJson(200, Map.of("manifest", add(weights)));
	}

	private void control(Exchange exchange) throws IOException {
		JsonNode request = exchange.readJson(JsonNode.class, BODY_LIMIT_BYTES);
		Faults current = this.faults;
		this.faults = new Faults(request.path("corruptEach").asInt(current.corruptEach()),
				request.path("stallMillis").asLong(current.stallMillis()),
				request.path("requestsPerSecond").asLong(current.requestsPerSecond()),
				request.path("bytesPerSecond").asLong(current.bytesPerSecond()),
				request.path("down").asBoolean(current.down()));
		exchange.respondJson(200, Map.of());
	}

	private void sendManifest(Exchange exchange) throws IOException, InterruptedException {
		abortIfDown(exchange);
		send(exchange, this.manifests.get(exchange.lastSegment()));
	}

	private void abortIfDown(Exchange exchange) {
		if (this.faults.down()) {
			throw exchange.abort("weight store is down");
		}
	}

	private void sendChunk(Exchange exchange) throws IOException, InterruptedException {
		abortIfDown(exchange);
		Faults current = this.faults;
		if (!withinRate(current.requestsPerSecond(), System.nanoTime())) {
			this.refusedRequests.incrementAndGet();
			exchange.setHeader("Retry-After", "1");
			exchange.respondError(429, "rate limit");
			return;
		}
		TimeUnit.MILLISECONDS.sleep(current.stallMillis());
		byte[] content = this.chunks.get(exchange.lastSegment());
		if (content != null) {
			this.requestsByChunk.computeIfAbsent(exchange.lastSegment(), (key) -> new AtomicLong()).incrementAndGet();
			long requestNumber = this.chunkRequests.incrementAndGet();
			if (current.corruptEach() > 0 && requestNumber % current.corruptEach() == 0) {
				content = content.clone();
				content[content.length / 2] ^= 1;
			}
		}
		send(exchange, content);
	}

	private synchronized boolean withinRate(long requestsPerSecond, long nowNanos) {
		if (nowNanos - this.rateWindowStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
			this.rateWindowStartNanos = nowNanos;
			this.requestsInRateWindow = 0;
		}
		return requestsPerSecond == 0 || ++this.requestsInRateWindow <= requestsPerSecond;
	}

	private void send(Exchange exchange, byte @Nullable [] content) throws IOException, InterruptedException {
		if (content == null) {
			exchange.respondError(404, "no such content");
			return;
		}
		this.sentBytes.addAndGet(content.length);
		if (this.faults.bytesPerSecond() == 0) {
			exchange.respond(200, "application/octet-stream", content);
			return;
		}
		try (OutputStream out = exchange.stream(200, "application/octet-stream")) {
			for (int offset = 0; offset < content.length; offset += WRITE_BLOCK_BYTES) {
				int length = Math.min(WRITE_BLOCK_BYTES, content.length - offset);
				TimeUnit.NANOSECONDS.sleep(reserve(length, this.faults.bytesPerSecond(), System.nanoTime()));
				out.write(content, offset, length);
				out.flush();
			}
		}
	}

	/**
	 * Reserves the link of the origin for some bytes.
	 * @return nanoseconds until the last of the bytes has passed the link
	 */
	private synchronized long reserve(int bytes, long bytesPerSecond, long nowNanos) {
		if (bytesPerSecond == 0) {
			return 0;
		}
		this.linkFreeAtNanos = Math.max(this.linkFreeAtNanos, nowNanos)
				+ TimeUnit.SECONDS.toNanos(1) * bytes / bytesPerSecond;
		return this.linkFreeAtNanos - nowNanos;
	}

	@Override
	public void close() {
		this.port.close();
	}

	/**
	 * Faults and limits; the value 0 switches a fault or limit off.
	 *
	 * @param corruptEach n, if every n-th chunk response is corrupted
	 * @param stallMillis delay before a chunk is sent
	 * @param requestsPerSecond chunk requests that are served; others are refused with
	 * status 429
	 * @param bytesPerSecond rate of the link of the origin
	 * @param down whether connections are aborted on requests for manifests and chunks
	 */
	private record Faults(int corruptEach, long stallMillis, long requestsPerSecond, long bytesPerSecond,
			boolean down) {
	}

}
