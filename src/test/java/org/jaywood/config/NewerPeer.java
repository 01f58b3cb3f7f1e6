package org.jaywood.config;

import java.io.IOException;
import java.time.Duration;

import org.jaywood.event.EventLog;
import org.jaywood.peer.Probe;
import org.jaywood.wire.Address;
import org.jaywood.wire.HttpPort;
import org.jaywood.wire.WireClient;

/**
 * A peer that reports one configuration in probes and serves it.
 */
final class NewerPeer implements AutoCloseable {

	private final HttpPort port;

	private final Probe probe;

	NewerPeer(Address address, AppliedConfiguration configuration) {
		this.probe = new Probe("incarnation", "router", "newer", "kushiro-a", address, configuration.generation(),
				configuration.digest(), 0, false);
		this.port = HttpPort.open(address, new EventLog("newer"))
			.route("GET", "/v1/configuration", (exchange) -> exchange.respondJson(200, configuration))
			.route("POST", "/v1/probe", (exchange) -> exchange.respondJson(200, this.probe))
			.start();
	}

	void probe(Address peer) throws IOException, InterruptedException {
		WireClient.plain(null).post(peer.uri("/v1/probe"), this.probe, Duration.ofSeconds(5));
	}

	@Override
	public void close() {
		this.port.close();
	}

}
