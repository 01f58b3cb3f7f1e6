package org.jaywood.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.Json;

/**
 * Server that responds with the files of a directory. The path of a request selects the
 * file; the query is ignored. Text files are answers of upstreams. It delays the response
 * to a request with a query, because this may be a long poll.
 */
final class StubServer implements AutoCloseable {

	private static final long QUERY_DELAY_MILLIS = 300;

	private static final String UPSTREAM_HEADERS = "upstream-headers.json";

	private final Path directory;

	private final HttpPort port;

	StubServer(Path directory, EventLog log) {
		this.directory = directory;
		this.port = HttpPort.open(new Address("127.0.0.1", 0), log).route("*", "/", this::handle).start();
	}

	Address address() {
		return this.port.address();
	}

	private void handle(Exchange exchange) throws IOException, InterruptedException {
		String name = exchange.path().replaceFirst("^/", "").replaceFirst("/$", "");
		Path json = this.directory.resolve(name + ".json");
		Path text = this.directory.resolve(name + ".txt");
		if (!exchange.query().isEmpty()) {
			Thread.sleep(QUERY_DELAY_MILLIS);
		}
		if (Files.exists(json)) {
			send(exchange, "application/json", replacePlaceholders(json));
		}
		else if (Files.exists(text)) {
			upstreamHeaders().forEach(exchange::setHeader);
			send(exchange, "text/event-stream", Files.readAllBytes(text));
		}
		else {
			exchange.respondError(404, "no file for " + exchange.path());
		}
	}

	/**
	 * Returns the headers that answers of upstreams have.
	 */
	private Map<String, String> upstreamHeaders() throws IOException {
		Map<String, String> headers = new TreeMap<>();
		Json.tree(Files.readAllBytes(this.directory.resolve(UPSTREAM_HEADERS)))
			.properties()
			.forEach((header) -> headers.put(header.getKey(), header.getValue().asText()));
		return headers;
	}

	private byte[] replacePlaceholders(Path file) throws IOException {
		return Files.readString(file)
			.replace("{prepared}", Integer.toString(address().port()))
			.getBytes(StandardCharsets.UTF_8);
	}

	private static void send(Exchange exchange, String type, byte[] body) throws IOException {
		try (OutputStream out = exchange.stream(200, type)) {
			out.write(body);
		}
	}

	@Override
	public void close() {
		this.port.close();
	}

}
