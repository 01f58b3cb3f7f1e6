package org.jaywood.standin;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;
import org.jaywood.wire.HttpPort;

/**
 * The weights of an engine stand-in and the orders that change them.
 */
final class EngineWeights {

	private static final int ORDER_LIMIT_BYTES = 65_536;

	private final Runnable reply;

	private volatile String digest = "";

	private volatile long fencing;

	EngineWeights(Runnable afterLoad) {
		this.reply = afterLoad;
	}

	void register(HttpPort port, EngineStandin engine) {
		port.route("POST", "/orders", (exchange) -> order(exchange, engine));
	}

	String digest() {
		return this.digest;
	}

	long fencing() {
		return this.fencing;
	}

	private void order(Exchange exchange, EngineStandin engine) throws IOException {
		JsonNode order = exchange.json(JsonNode.class, ORDER_LIMIT_BYTES);
		List<String> manifests = order.path("manifests").valueStream().map(JsonNode::asText).toList();
		this.fencing = order.path("fencing").asLong();
		this.digest = Digests.ofSet(manifests);
		this.reply.run();
		exchange.respondJson(200, engine.status());
	}

}
