package org.jaywood.agent;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Client of a model engine: reads its status and sends load orders.
 */
public final class EngineClient {

	private static final int MAX_STATUS_BYTES = 64 * 1024;

	private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);

	private final WireClient client;

	private final Address address;

	public EngineClient(WireClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	/**
	 * Reads the engine's status.
	 * @throws EngineException if the engine does not respond
	 */
	public EngineStatus status() throws InterruptedException {
		HttpRequest request = this.client.request(this.address.uri("/status"), STATUS_TIMEOUT).GET().build();
		try {
			return Json.read(this.client.send(request, MAX_STATUS_BYTES).body(), EngineStatus.class);
		}
		catch (IOException ex) {
			throw new EngineException("no status from the engine: " + ex, ex);
		}
	}

	/**
	 * Orders the engine to load a set of weights and waits until it has done so.
	 * @throws EngineException if the engine refuses, fails or does not respond in time
	 */
	public EngineStatus order(LoadOrder order, Duration timeout) throws InterruptedException {
		try {
			HttpResponse<byte[]> response = this.client.post(this.address.uri("/orders"), order, timeout);
			if (response.statusCode() != 200) {
				throw new EngineException(
						"engine answered " + response.statusCode() + " to the order " + order.orderId());
			}
			return Json.read(response.body(), EngineStatus.class);
		}
		catch (IOException ex) {
			throw new EngineException("no answer to the order " + order.orderId() + ": " + ex, ex);
		}
	}

}
