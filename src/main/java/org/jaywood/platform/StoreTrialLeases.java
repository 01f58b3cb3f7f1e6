package org.jaywood.platform;

import java.io.IOException;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.jaywood.gateway.TrialLeases;
import org.jaywood.http.BufferedResponse;
import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Json;

/**
 * Leases of trials as objects of the platform's store: whoever creates the object has the
 * lease. A released lease is an object without a holder, since the store has no
 * conditional delete: an unconditional one could delete the lease of another gateway that
 * has acquired it after a restore of the store.
 */
public final class StoreTrialLeases implements TrialLeases {

	private static final String KIND = "part-trials";

	private static final String HOLDER = "Holder";

	private static final String NO_HOLDER = "";

	private final MetadataStoreClient store;

	/** Random, so that a process does not take over leases of its predecessor. */
	private final String holder = UUID.randomUUID().toString();

	public StoreTrialLeases(MetadataStoreClient store) {
		this.store = store;
	}

	@Override
	public boolean tryAcquire(String name) throws IOException {
		if (this.store.create(KIND, name, spec(this.holder))) {
			return true;
		}
		LeaseObject present = read(name);
		return present != null && present.holder().equals(NO_HOLDER) && replace(name, this.holder, present);
	}

	@Override
	public boolean reacquire(String name) throws IOException {
		LeaseObject present = read(name);
		return (present != null && present.holder().equals(this.holder)) || tryAcquire(name);
	}

	@Override
	public void release(String name) throws IOException {
		LeaseObject present = read(name);
		if (present != null && present.holder().equals(this.holder)) {
			replace(name, NO_HOLDER, present);
		}
	}

	/**
	 * Returns the object of a lease, or null if there is none.
	 */
	private @Nullable LeaseObject read(String name) throws IOException {
		BufferedResponse response = this.store.readObject(KIND, name, false);
		if (response.status() == HttpStatus.SC_NOT_FOUND) {
			return null;
		}
		if (!response.ok()) {
			throw unexpected("GET", name, response);
		}
		try {
			JsonNode object = Json.tree(response.body());
			JsonNode revision = object.path("Metadata").path("Revision");
			if (!revision.isIntegralNumber()) {
				throw new IOException("GET " + KIND + "/" + name + ": object without a revision");
			}
			// An object without the field is held by a gateway of an earlier release.
			return new LeaseObject(object.path("Spec").path(HOLDER).asText("unknown"), revision.asLong());
		}
		catch (BadInputException ex) {
			throw new IOException("GET " + KIND + "/" + name + ": malformed response", ex);
		}
	}

	/**
	 * Changes the holder of a lease.
	 * @return whether the object still had the revision at which it was read
	 */
	private boolean replace(String name, String latestHolder, LeaseObject present) throws IOException {
		BufferedResponse response = this.store.replaceObject(KIND, name, spec(latestHolder), present.revision());
		return switch (response.status()) {
			case HttpStatus.SC_OK -> true;
			case HttpStatus.SC_CONFLICT, HttpStatus.SC_NOT_FOUND -> false;
			default -> throw unexpected("PUT", name, response);
		};
	}

	private static JsonNode spec(String holder) {
		return Json.mapper().createObjectNode().put(HOLDER, holder);
	}

	private static IOException unexpected(String method, String name, BufferedResponse response) {
		return new IOException(method + " " + KIND + "/" + name + ": status " + response.status());
	}

	private record LeaseObject(String holder, long revision) {
	}

}
