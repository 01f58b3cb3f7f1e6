package org.jaywood.standin;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jaywood.event.EventLog;
import org.jaywood.wire.Address;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * Stand-in of a plain service. It records each call that it ran.
 */
public final class ServiceStandin implements AutoCloseable {

	private static final int BODY_LIMIT_BYTES = 4 * 1024 * 1024;

	private final List<String> runs = new CopyOnWriteArrayList<>();

	private final HttpPort port;

	public ServiceStandin(Address address, EventLog log) {
		this.port = HttpPort.open(address, log)
			.route("GET", "/record", (exchange) -> exchange.respondJson(200, Map.of("runs", this.runs)))
			.route("*", "/", this::run)
			.start();
	}

	public Address address() {
		return this.port.address();
	}

	private void run(Exchange exchange) throws IOException {
		byte[] body = exchange.body(BODY_LIMIT_BYTES);
		this.runs.add(exchange.optionalHeader("Request-Id").orElse(""));
		exchange.respondJson(200, Map.of("method", exchange.method(), "path", exchange.target(), "bytes", body.length,
				"run", this.runs.size()));
	}

	@Override
	public void close() {
		this.port.close();
	}

}
