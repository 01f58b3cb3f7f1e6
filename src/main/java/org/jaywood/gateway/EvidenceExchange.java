package org.jaywood.gateway;

import java.io.IOException;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

import org.jaywood.feed.BootClock;
import org.jaywood.http.BufferedResponse;
import org.jaywood.http.ConnectionPool;
import org.jaywood.http.ResponseLimits;
import org.jaywood.routing.CrashEvidence;
import org.jaywood.routing.EvidenceMessage;
import org.jaywood.routing.EvidenceRelay;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;

/**
 * Tells agents what this gateway knows of parts of prompts that crash engines. What
 * agents tell arrives with their load reports.
 */
final class EvidenceExchange {

	/** Path at which an agent accepts evidence. */
	private static final String PATH = "/v1/evidence";

	private static final ResponseLimits RESPONSE_LIMITS = new ResponseLimits(500, 16 * 1024);

	/** Statuses from here on say that the agent failed; lower ones are final. */
	private static final int FIRST_SERVER_ERROR = 500;

	private final EvidenceRelay relay;

	private final ConnectionPool pool = new ConnectionPool();

	EvidenceExchange(CrashEvidence evidence) {
		this.relay = new EvidenceRelay(evidence);
	}

	EvidenceRelay relay() {
		return this.relay;
	}

	/**
	 * Sends each agent what it has not been told.
	 */
	void onTick(long nowMillis) {
		this.relay.agents()
			.forEach((agent) -> this.relay.takeDue(agent, nowMillis)
				.ifPresent((message) -> Thread.ofVirtual().start(() -> send(agent, message))));
	}

	private void send(Address agent, EvidenceMessage message) {
		try {
			BufferedResponse response = this.pool.exchange(agent, new BasicClassicHttpRequest("POST", PATH),
					Json.bytes(message), RESPONSE_LIMITS);
			if (response.status() >= FIRST_SERVER_ERROR) {
				throw new IOException("status " + response.status());
			}
		}
		catch (IOException | RuntimeException ex) {
			// Told again with the next tick, while the agent sends its reports.
			this.relay.onUndelivered(agent, message, BootClock.nowMillis());
		}
	}

}
