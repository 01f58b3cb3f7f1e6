package org.jaywood.standin;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Stand-in of the weight store with its origin. It counts the bytes that it sent.
 */
public final class StoreStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 65_536;

	private final Map<String, byte[]> manifests = new ConcurrentHashMap<>();

	private final Map<String, byte[]> chunks = new ConcurrentHashMap<>();

	private final AtomicLong sentBytes = new AtomicLong();

	private final HttpPort port;

	public StoreStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("GET", "/manifests/", (exchange) -> send(exchange, this.manifests))
			.route("GET", "/chunks/", (exchange) -> send(exchange, this.chunks))
			.route("POST", "/control/weights", this::addWeights)
			.route("GET", "/record", (exchange) -> exchange.respondJson(200, Map.of("sentBytes", this.sentBytes.get())))
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	/**
	 * Adds weights.
	 * @return digest of the manifest
	 */
	public String add(SyntheticWeights weights) {
		IntStream.range(0, weights.chunks().size())
			.forEach((index) -> this.chunks.put(weights.manifest().chunks().get(index), weights.chunks().get(index)));
		String digest = weights.manifest().digest();
		this.manifests.put(digest, weights.manifest().toBytes());
		return digest;
	}

	private void addWeights(Exchange exchange) throws IOException {
		JsonNode request = exchange.json(JsonNode.class, BODY_LIMIT_BYTES);
		SyntheticWeights weights = SyntheticWeights.generate(request.path("name").asText(),
				request.path("version").asText(), request.path("totalBytes").asLong(),
				request.path("chunkBytes").asInt());
		exchange.respondJson(200, Map.of("manifest", add(weights)));
	}

	private void send(Exchange exchange, Map<String, byte[]> source) throws IOException {
		byte[] content = source.get(exchange.lastSegment());
		if (content == null) {
			exchange.respondError(404, "no such content");
			return;
		}
		this.sentBytes.addAndGet(content.length);
		exchange.respond(200, "application/octet-stream", content);
	}

	@Override
	public void close() {
		this.port.close();
	}

}
