package org.jaywood.platform;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.http.BufferedResponse;
import org.jaywood.leader.Lease;
import org.jaywood.leader.LeaseResponse;
import org.jaywood.leader.LeaseStore;
import org.jaywood.leader.SavedState;
import org.jaywood.wire.Address;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Json;

/**
 * Lease of the leader as an object of the platform's store.
 */
public final class StoreLeases implements LeaseStore {

	private static final String KIND = "leases";

	private static final String NAME = "controller";

	private final MetadataStoreClient store;

	public StoreLeases(MetadataStoreClient store) {
		this.store = store;
	}

	@Override
	public LeaseResponse read(boolean fresh) throws IOException {
		BufferedResponse response = this.store.readObject(KIND, NAME, !fresh);
		long era = MetadataStoreClient.era(response);
		return switch (response.status()) {
			case HttpStatus.SC_OK -> found(response, era);
			case HttpStatus.SC_NOT_FOUND -> new LeaseResponse.Missing(era);
			default -> throw unexpected("GET", response);
		};
	}

	@Override
	public LeaseResponse create(Lease lease) throws IOException {
		BufferedResponse response = this.store.createObject(KIND, NAME, spec(lease));
		long era = MetadataStoreClient.era(response);
		return switch (response.status()) {
			case HttpStatus.SC_OK, HttpStatus.SC_CREATED -> written(response, era);
			case HttpStatus.SC_CONFLICT -> new LeaseResponse.Conflict(era, null);
			default -> throw unexpected("POST", response);
		};
	}

	@Override
	public LeaseResponse replace(Lease lease, long revision) throws IOException {
		BufferedResponse response = this.store.replaceObject(KIND, NAME, spec(lease), revision);
		long era = MetadataStoreClient.era(response);
		return switch (response.status()) {
			case HttpStatus.SC_OK -> written(response, era);
			case HttpStatus.SC_CONFLICT -> new LeaseResponse.Conflict(era, current(response, era));
			case HttpStatus.SC_NOT_FOUND -> new LeaseResponse.Missing(era);
			default -> throw unexpected("PUT", response);
		};
	}

	private static LeaseResponse.Written written(BufferedResponse response, long era) throws IOException {
		JsonNode revision = tree(response).path("Metadata").path("Revision");
		if (!revision.isIntegralNumber()) {
			// Without the revision no renewal is possible; the next read finds the
			// object.
			throw new IOException("response to a write of the lease has no revision");
		}
		return new LeaseResponse.Written(era, revision.asLong());
	}

	private static LeaseResponse.@Nullable Found current(BufferedResponse response, long era) {
		try {
			return found(response, era);
		}
		catch (IOException ex) {
			return null;
		}
	}

	private static LeaseResponse.Found found(BufferedResponse response, long era) throws IOException {
		JsonNode object = tree(response);
		JsonNode revision = object.path("Metadata").path("Revision");
		JsonNode spec = object.path("Spec");
		try {
			if (!revision.isIntegralNumber()) {
				throw new IOException("lease object without a revision");
			}
			Map<String, SavedState> states = new HashMap<>();
			spec.path("States")
				.properties()
				.forEach((state) -> states.put(state.getKey(),
						new SavedState(state.getValue().path("Era").asLong(), state.getValue().path("Value"))));
			Lease lease = new Lease(spec.path("Holder").asText(), Address.parse(spec.path("Address").asText()),
					spec.path("Process").asText(), spec.path("Term").asLong(), spec.path("Era").asLong(), states);
			return new LeaseResponse.Found(era, revision.asLong(), lease);
		}
		catch (BadInputException ex) {
			throw new IOException("malformed lease object: " + ex.getMessage(), ex);
		}
	}

	private static JsonNode spec(Lease lease) {
		ObjectNode spec = Json.mapper()
			.createObjectNode()
			.put("Holder", lease.holder())
			.put("Address", lease.address().toString())
			.put("Process", lease.process())
			.put("Term", lease.term())
			.put("Era", lease.era());
		ObjectNode states = spec.putObject("States");
		lease.states()
			.forEach((name, state) -> states.putObject(name).put("Era", state.era()).set("Value", state.value()));
		return spec;
	}

	private static JsonNode tree(BufferedResponse response) throws IOException {
		try {
			return Json.tree(response.body());
		}
		catch (BadInputException ex) {
			throw new IOException("malformed response: " + ex.getMessage(), ex);
		}
	}

	private static IOException unexpected(String method, BufferedResponse response) {
		return new IOException(method + " " + KIND + "/" + NAME + ": status " + response.status());
	}

}
