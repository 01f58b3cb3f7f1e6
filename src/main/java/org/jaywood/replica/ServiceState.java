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
 * State of the service as known to an agent: the target version of its engine, its peers
 * and the origin of weights. The target version of a model never decreases, also when the
 * store was restored from an older copy.
 */
final class ServiceState {

	/** Longer than the interval at which a gateway reports that nothing has changed. */
	private static final long STORE_CONTACT_LIFETIME_MILLIS = 3_000;

	private final ReplicaSettings settings;

	private final EventLog log;

	private final ChangeSignal changes = new ChangeSignal();

	private volatile @Nullable ServiceSnapshot snapshot;

	/**
	 * {@link ServiceSnapshot#contentHash} of the snapshot as received, 0 while there is
	 * none.
	 */
	private volatile long contentHash;

	/** Older target version that was offered last and is logged once. */
	private @Nullable ModelVersion ignoredTarget;

	private long era = -1;

	private volatile long storeContactMillis = Long.MIN_VALUE / 2;

	ServiceState(ReplicaSettings settings, EventLog log) {
		this.settings = settings;
		this.log = log;
	}

	synchronized void onSnapshot(ServiceSnapshot latest) {
		ServiceSnapshot present = this.snapshot;
		if (present != null && isOlder(present.target(), latest.target())) {
			ignoreTarget(latest.target(), present.target());
			this.snapshot = latest.withTarget(present.target());
		}
		else {
			this.snapshot = latest;
			this.ignoredTarget = null;
		}
		this.contentHash = latest.contentHash();
		this.changes.raise();
		if (this.ignoredTarget == null && (present == null || !present.target().equals(latest.target()))) {
			this.log.log(Event.WEIGHTS_NAMED, "model", latest.target().model(), "version", latest.target().version(),
					"revision", latest.revision());
		}
	}

	private void ignoreTarget(ModelVersion offered, ModelVersion present) {
		if (!offered.equals(this.ignoredTarget)) {
			this.ignoredTarget = offered;
			this.log.log(Event.CONFIGURATION_OLDER_IGNORED, "source", "gateway", "offered", offered, "generation",
					present);
		}
	}

	/**
	 * Records the era of the store that a response states.
	 * @return whether the response may be used; one of an earlier era than a response
	 * before was sent by a process that does not know of a restore yet
	 */
	synchronized boolean observeEra(long latest) {
		if (latest > this.era) {
			if (this.era >= 0) {
				this.log.log(Event.STORE_RESTORED, "era", latest, "previousEra", this.era);
			}
			this.era = latest;
		}
		return latest == this.era;
	}

	private static boolean isOlder(ModelVersion present, ModelVersion latest) {
		return present.model().equals(latest.model()) && present.version() > latest.version();
	}

	/**
	 * Returns the signal raised when the snapshot or the served weights change.
	 */
	ChangeSignal changes() {
		return this.changes;
	}

	/**
	 * Records that the store answered, through a gateway or directly.
	 */
	void onStoreContact(long nowMillis) {
		this.storeContactMillis = nowMillis;
	}

	/**
	 * Whether the store answered within {@link #STORE_CONTACT_LIFETIME_MILLIS}.
	 */
	boolean hasStoreContact(long nowMillis) {
		return nowMillis - this.storeContactMillis <= STORE_CONTACT_LIFETIME_MILLIS;
	}

	/**
	 * Whether a snapshot has been received.
	 */
	boolean hasSnapshot() {
		return this.snapshot != null;
	}

	/**
	 * Returns the content hash of the snapshot as received, 0 while there is none.
	 */
	long contentHash() {
		return this.contentHash;
	}

	/**
	 * Returns the configured profile of the service, if a snapshot has been received.
	 */
	Optional<ServiceProfile.Engines> profile() {
		return Optional.ofNullable(this.snapshot).map(ServiceSnapshot::profile);
	}

	/**
	 * Returns the target version of the engine, if a snapshot has been received.
	 */
	Optional<ModelVersion> target() {
		return Optional.ofNullable(this.snapshot).map(ServiceSnapshot::target);
	}

	Optional<ServiceProfile.Origin> origin() {
		return Optional.ofNullable(this.snapshot).map(ServiceSnapshot::origin);
	}

	/**
	 * Returns the engines of this service that are not leaving, with that of this agent.
	 */
	List<Upstream> engines() {
		ServiceSnapshot present = this.snapshot;
		return (present != null) ? present.engines().stream().filter((engine) -> !engine.leaving()).toList()
				: List.of();
	}

	/**
	 * Returns the entry of the engine of this agent, if the snapshot has one.
	 */
	Optional<Upstream> ownEngine() {
		ServiceSnapshot present = this.snapshot;
		return (present != null) ? present.engines()
			.stream()
			.filter((engine) -> engine.address().equals(this.settings.engine()))
			.findFirst() : Optional.empty();
	}

}
