package org.jaywood.config;

import java.util.Optional;
import java.util.UUID;

import org.jaywood.platform.Futures;
import org.jaywood.platform.ObjectStore;
import org.jaywood.platform.PlatformException;
import org.jaywood.platform.StoredObject;
import org.jaywood.wire.Json;

/**
 * The applied configuration in the object API. An apply is one conditional update, so it
 * takes effect as a whole or not at all.
 */
public final class ConfigurationRepository {

	/** Kind of the object that holds the configuration. */
	public static final String KIND = "configuration";

	/** Name of the object that holds the configuration. */
	public static final String NAME = "current";

	private final ObjectStore store;

	public ConfigurationRepository(ObjectStore store) {
		this.store = store;
	}

	/**
	 * Reads the configuration in the object API.
	 * @return the configuration, or empty if none was ever applied
	 */
	public Optional<AppliedConfiguration> current() {
		return stored().map((object) -> Json.read(object.value(), AppliedConfiguration.class));
	}

	/**
	 * Applies a deployment.
	 * @param deployment a checked deployment
	 * @param author who applies it
	 * @param nowMillis present time, milliseconds since the epoch
	 * @return the configuration now in the object API
	 */
	public AppliedConfiguration apply(Deployment deployment, String author, long nowMillis) {
		Optional<StoredObject> before = stored();
		long generation = before.map((object) -> Json.read(object.value(), AppliedConfiguration.class).generation())
			.orElse(0L) + 1;
		AppliedConfiguration next = new AppliedConfiguration(generation, UUID.randomUUID().toString(), author,
				nowMillis, deployment.digest(), deployment);
		byte[] value = Json.bytes(next);
		Futures.await(before.map((object) -> this.store.update(KIND, NAME, value, object.version()))
			.orElseGet(() -> this.store.create(KIND, NAME, value)));
		return next;
	}

	private Optional<StoredObject> stored() {
		try {
			return Optional.of(Futures.await(this.store.get(KIND, NAME)));
		}
		catch (PlatformException ex) {
			if (ex.kind() == PlatformException.Kind.NOT_FOUND) {
				return Optional.empty();
			}
			throw ex;
		}
	}

}
