package org.jaywood.replica;

import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.Upstream;

/**
 * What an agent knows of its service: the version that its engine is to serve, its peers
 * and the origin of weights. The version never goes back.
 */
final class ServiceState {

	/** Longer than the interval at which a gateway says that nothing changed. */
	private static final long STORE_CONTACT_LIFETIME_MILLIS = 3_000;

	private final ReplicaSettings settings;

	private final EventLog log;

	private final ChangeSignal changes = new ChangeSignal();

	private volatile @Nullable ServiceSnapshot snapshot;

	/** {@link ServiceSnapshot#contentHash} of the digest, 0 while there is none. */
	private volatile long contentHash;

	private volatile long storeContactMillis = Long.MIN_VALUE / 2;

	ServiceState(ReplicaSettings settings, EventLog log) {
		this.settings = settings;
		this.log = log;
	}

	synchronized void onSnapshot(ServiceSnapshot latest) {
		ServiceSnapshot present = this.snapshot;
		if (present != null && isOlder(present.target(), latest.target())) {
			this.log.log(Event.CONFIGURATION_OLDER_IGNORED, "source", "gateway", "offered", latest.target(),
					"generation", present.target());
			return;
		}
		this.snapshot = latest;
		this.contentHash = latest.contentHash();
		this.changes.raise();
		if (present == null || !present.target().equals(latest.target())) {
			this.log.log(Event.WEIGHTS_NAMED, "model", latest.target().model(), "version", latest.target().version(),
					"revision", latest.revision());
		}
	}

	private static boolean isOlder(ModelVersion present, ModelVersion latest) {
		return present.model().equals(latest.model()) && present.version() > latest.version();
	}

	/**
	 * Raised when the digest changes, or what the engine serves.
	 */
	ChangeSignal changes() {
		return this.changes;
	}

	/**
	 * Notes that the store said what it knows, through a gateway or directly.
	 */
	void onStoreContact(long nowMillis) {
		this.storeContactMillis = nowMillis;
	}

	/**
	 * Whether the store lately said what it knows.
	 */
	boolean hasStoreContact(long nowMillis) {
		return nowMillis - this.storeContactMillis <= STORE_CONTACT_LIFETIME_MILLIS;
	}

	/**
	 * Whether anything is known yet.
	 */
	boolean hasSnapshot() {
		return this.snapshot != null;
	}

	/**
	 * Hash of what is known, 0 for nothing.
	 */
	long contentHash() {
		return this.contentHash;
	}

	/**
	 * The engines of this service by the configuration, if it is known.
	 */
	Optional<ServiceProfile.Engines> profile() {
		return Optional.ofNullable(this.snapshot).map(ServiceSnapshot::profile);
	}

	/**
	 * The version that the engine is to serve, if it is known.
	 */
	Optional<ModelVersion> target() {
		return Optional.ofNullable(this.snapshot).map(ServiceSnapshot::target);
	}

	Optional<ServiceProfile.Origin> origin() {
		return Optional.ofNullable(this.snapshot).map(ServiceSnapshot::origin);
	}

	/**
	 * Engines of this service that stay, that of this agent included.
	 */
	List<Upstream> engines() {
		ServiceSnapshot known = this.snapshot;
		return (known != null) ? known.engines().stream().filter((engine) -> !engine.leaving()).toList() : List.of();
	}

	/**
	 * The entry of the engine of this agent, if the list has it.
	 */
	Optional<Upstream> ownEngine() {
		ServiceSnapshot known = this.snapshot;
		return (known != null) ? known.engines()
			.stream()
			.filter((engine) -> engine.address().equals(this.settings.engine()))
			.findFirst() : Optional.empty();
	}

}
