package org.jaywood.bench;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Client of the control port of an installation's network stand-in. A selector is the
 * name of a VM, {@code platform}, {@code store}, a data centre or a region, or {@code *}.
 */
public final class NetworkControl {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final WireClient client = WireClient.plain(null);

	private final Address address;

	NetworkControl(Address address) {
		this.address = address;
	}

	/**
	 * Resets open connections and refuses new ones.
	 * @return id of the fault
	 */
	public String cut(String source, String destination) throws IOException, InterruptedException {
		return addFault("CUT", Map.of("source", source, "destination", destination));
	}

	/**
	 * Drops all bytes in both directions without an error, as packet loss does.
	 * @return id of the fault
	 */
	public String partition(String first, String second) throws IOException, InterruptedException {
		return addFault("PARTITION", Map.of("source", first, "destination", second));
	}

	/**
	 * Adds a fault.
	 * @param kind one of CUT, FREEZE, PARTITION, DELAY, CORRUPT, TRUNCATE or LOSE_REPLIES
	 * @param fields source, destination, direction, delayMillis, probability, atByte and
	 * times, as the kind needs them
	 * @return id of the fault
	 */
	public String addFault(String kind, Map<String, Object> fields) throws IOException, InterruptedException {
		Map<String, Object> fault = new HashMap<>(fields);
		fault.put("kind", kind);
		return post("/control/faults", fault).path("id").asText();
	}

	/**
	 * Removes a fault.
	 */
	public void removeFault(String faultId) throws IOException, InterruptedException {
		this.client.send(this.client.request(this.address.uri("/control/faults/" + faultId), TIMEOUT).DELETE().build());
	}

	/**
	 * Returns the bytes of each region pair and machine, the connections and the faults
	 * so far.
	 */
	public JsonNode record() throws IOException, InterruptedException {
		return Json.tree(this.client.get(this.address.uri("/record"), TIMEOUT).body());
	}

	void setTopology(List<Map<String, Object>> vms, Profile.Links links) throws IOException, InterruptedException {
		post("/control/topology", Map.of("vms", vms, "links", links));
	}

	private JsonNode post(String path, Object body) throws IOException, InterruptedException {
		HttpResponse<byte[]> response = this.client.post(this.address.uri(path), body, TIMEOUT);
		if (response.statusCode() != 200) {
			throw new IOException("network stand-in answered " + response.statusCode() + " instead of 200 to " + path);
		}
		return Json.tree(response.body());
	}

}
