package org.jaywood.config;

import java.util.Optional;
import java.util.UUID;

import org.jspecify.annotations.Nullable;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;
import org.jaywood.wire.Json;

/**
 * Repository of the applied configuration in the platform's object API. An apply is one
 * conditional update, so it takes effect as a whole or not at all. Each generation is
 * added to the history before the next one replaces it.
 */
public final class ConfigurationRepository {

	/** Kind of the object that holds the configuration. */
	public static final String KIND = "configuration";

	/** Name of the object that holds the configuration. */
	public static final String NAME = "current";

	/**
	 * Largest number of tries to write or to find out whether a write without a response
	 * took effect. With the time-out of the platform client and the delays between tries
	 * they take at most about 40 s.
	 */
	private static final int MAX_WRITE_TRIES = 6;

	private static final long FIRST_RETRY_DELAY_MILLIS = 100;

	private final ObjectStore store;

	private final ConfigurationHistory history;

	public ConfigurationRepository(ObjectStore store) {
		this.store = store;
		this.history = new ConfigurationHistory(store);
	}

	public ConfigurationHistory history() {
		return this.history;
	}

	/**
	 * Reads the current configuration from the object API.
	 * @return the configuration, or empty if none was ever applied
	 */
	public Optional<AppliedConfiguration> current() {
		return Optional.ofNullable(readCurrentObject()).map(ConfigurationRepository::parse);
	}

	/**
	 * Applies a deployment.
	 * @param deployment a valid deployment
	 * @param author who applies it
	 * @param nowMillis present time, milliseconds since the epoch
	 * @return the configuration now in the object API
	 */
	public AppliedConfiguration apply(Deployment deployment, String author, long nowMillis) {
		return apply(deployment, ApplyOptions.ofAuthor(author, nowMillis));
	}

	/**
	 * Applies a deployment.
	 * @param deployment a valid deployment
	 * @param options how it is applied
	 * @return the configuration that took effect
	 * @throws ApplyConflictException if another configuration was in force; nothing was
	 * changed
	 * @throws ApplyUnknownException if the platform did not respond and the outcome is
	 * not known
	 */
	public AppliedConfiguration apply(Deployment deployment, ApplyOptions options) {
		StoredObject currentObject = readCurrentObject();
		AppliedConfiguration inForce = (currentObject != null) ? parse(currentObject) : AppliedConfiguration.NONE;
		if (options.expectedGeneration().orElse(inForce.generation()) != inForce.generation()) {
			throw new ApplyConflictException(inForce,
					"expected generation " + options.expectedGeneration().getAsLong());
		}
		if (currentObject != null) {
			this.history.addIfAbsent(inForce);
		}
		long generation = this.history
			.findUnusedGeneration(Math.max(inForce.generation(), options.highestSeenGeneration()) + 1);
		AppliedConfiguration next = new AppliedConfiguration(generation, UUID.randomUUID().toString(), options.author(),
				options.nowMillis(), deployment.digest(), deployment);
		write(next, currentObject);
		tryAddToHistory(next);
		return next;
	}

	/**
	 * Applies the deployment of an earlier generation as a new generation.
	 * @param generation the earlier generation
	 * @param options how it is applied
	 * @return the new configuration
	 */
	public AppliedConfiguration rollback(long generation, ApplyOptions options) {
		AppliedConfiguration earlier = this.history.find(generation)
			.or(() -> current().filter((inForce) -> inForce.generation() == generation))
			.orElseThrow(() -> new ConfigurationException("history has no generation " + generation));
		return apply(earlier.deployment(), options);
	}

	private void write(AppliedConfiguration next, @Nullable StoredObject currentObject) {
		byte[] value = Json.bytes(next);
		PlatformException lastFailure = null;
		for (int tryIndex = 0; tryIndex < MAX_WRITE_TRIES; tryIndex++) {
			try {
				// An earlier try may still be in flight. Repeating the write is safe:
				// all tries have the same condition and value, so at most one takes
				// effect.
				Futures.await((currentObject != null) ? this.store.update(KIND, NAME, value, currentObject.version())
						: this.store.create(KIND, NAME, value));
				return;
			}
			catch (PlatformException ex) {
				if (ex.kind() == Kind.CONFLICT && tookEffect(next, tryIndex)) {
					return;
				}
				if (ex.kind() == Kind.NOT_FOUND || ex.kind() == Kind.REFUSED && lastFailure == null) {
					throw ex;
				}
				lastFailure = ex;
			}
			Futures.pause(FIRST_RETRY_DELAY_MILLIS << tryIndex);
		}
		throw new ApplyUnknownException(next, (lastFailure != null) ? lastFailure : new IllegalStateException());
	}

	/**
	 * Checks whether a write whose condition no longer holds took effect.
	 * @return true if it took effect; false if the platform did not respond
	 * @throws ApplyConflictException if another apply took effect instead
	 * @throws ApplyUnknownException if the platform did not respond in the last try
	 */
	private boolean tookEffect(AppliedConfiguration next, int tryIndex) {
		try {
			AppliedConfiguration inForce = current().orElse(AppliedConfiguration.NONE);
			if (inForce.applyId().equals(next.applyId()) || this.history.contains(next)) {
				return true;
			}
			throw new ApplyConflictException(inForce, "another apply came first");
		}
		catch (PlatformException ex) {
			if (tryIndex == MAX_WRITE_TRIES - 1) {
				throw new ApplyUnknownException(next, ex);
			}
			return false;
		}
	}

	private void tryAddToHistory(AppliedConfiguration applied) {
		try {
			this.history.addIfAbsent(applied);
		}
		catch (PlatformException ex) {
			// The apply took effect. The next apply adds this generation to the history.
		}
	}

	private @Nullable StoredObject readCurrentObject() {
		try {
			return Futures.await(this.store.get(KIND, NAME));
		}
		catch (PlatformException ex) {
			if (ex.kind() == Kind.NOT_FOUND) {
				return null;
			}
			throw ex;
		}
	}

	private static AppliedConfiguration parse(StoredObject object) {
		return Json.read(object.value(), AppliedConfiguration.class);
	}

}
