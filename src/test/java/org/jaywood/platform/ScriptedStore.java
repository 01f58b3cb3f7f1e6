package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Store that sends prepared responses, byte for byte, and repeats the last one.
 */
final class ScriptedStore implements AutoCloseable {

	/**
	 * Requests after which it fails, so that a client that loops endlessly is detected.
	 */
	private static final int MAX_RESPONSES = 10;

	private final HttpPort port = HttpPort.open(new Address("127.0.0.1", 0), new EventLog("store"))
		.route("GET", "/objects/", this::handle)
		.start();

	private final Deque<byte[]> responses = new ArrayDeque<>();

	private final List<String> requestTargets = new CopyOnWriteArrayList<>();

	MetadataStoreClient client() {
		return new MetadataStoreClient(this.port.address());
	}

	/**
	 * Adds a response.
	 * @param json the body of the response, with single quotes
	 */
	synchronized ScriptedStore add(String json) {
		// Each character stands for one byte, so that invalid UTF-8 can be written.
		this.responses.add(json.replace('\'', '"').getBytes(StandardCharsets.ISO_8859_1));
		return this;
	}

	/**
	 * Returns the paths and queries requested so far.
	 */
	List<String> requestTargets() {
		return this.requestTargets;
	}

	private void handle(Exchange exchange) throws IOException {
		this.requestTargets.add(exchange.target());
		if (this.requestTargets.size() > MAX_RESPONSES) {
			exchange.respondError(500, "too many calls");
			return;
		}
		exchange.respond(200, "application/json", next());
	}

	private synchronized byte[] next() {
		return (this.responses.size() > 1) ? this.responses.poll() : this.responses.peek();
	}

	@Override
	public void close() {
		this.port.close();
	}

}
