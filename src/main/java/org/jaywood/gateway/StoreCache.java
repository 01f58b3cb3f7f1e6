package org.jaywood.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedView;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.Fleet;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.Upstream;

/**
 * Cache of the store's objects that this gateway uses, with the time up to which the
 * configuration is confirmed. A configuration with a lower version than the present one
 * is ignored. Each change is passed to the dispatcher and logged.
 * <p>
 * After the store was restored from an older copy, upstreams and closed data centres that
 * it lacks are kept for as long as after an outage, and the configuration in force and
 * the target versions never go back.
 */
final class StoreCache {

	private final Dispatcher dispatcher;

	private final EventLog log;

	private final StallHistory stallHistory = new StallHistory();

	private final Map<String, List<Fleet.TargetVersion>> targetVersions = new HashMap<>();

	private @Nullable FeedView<Upstream> upstreams;

	private Set<String> closedDataCentres = Set.of();

	private @Nullable FeedView<ModelVersion> targetVersionsView;

	private final SnapshotPublisher snapshots = new SnapshotPublisher();

	/** Whether the configuration in force has not been passed to the dispatcher. */
	private boolean tableUnpublished;

	/**
	 * Whether upstreams, closed data centres or target versions have not been passed to
	 * the dispatcher.
	 */
	private boolean fleetUnpublished;

	private long changeCount;

	private boolean targetVersionsKnown;

	private long targetVersionsRevision;

	private final EntryRetention<Upstream> upstreamRetention;

	private final EntryRetention<String> closureRetention;

	/** Older target versions that the store offered and that were logged. */
	private final Set<ModelVersion> ignoredTargets = new HashSet<>();

	/** Older configuration that the store offered last, or -1. */
	private long ignoredConfiguration = -1;

	/** Highest revision of a snapshot; it does not fall when the store is restored. */
	private long snapshotRevision;

	private volatile long era = -1;

	private volatile @Nullable RouteTable table;

	private volatile long confirmedMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty cache.
	 * @param retentionMillis time for which entries are kept that are missing after a
	 * restore of the store
	 */
	StoreCache(Dispatcher dispatcher, long retentionMillis, EventLog log) {
		this.dispatcher = dispatcher;
		this.log = log;
		this.upstreamRetention = new EntryRetention<>(retentionMillis, StoreCache::latestState);
		this.closureRetention = new EntryRetention<>(retentionMillis, (before, present) -> present);
	}

	/**
	 * Chooses between the entry of an upstream from before a restore and the present one.
	 * An incarnation that leaves does so for good.
	 */
	private static Upstream latestState(Upstream before, Upstream present) {
		if (before.bornMillis() != present.bornMillis()) {
			return (before.bornMillis() > present.bornMillis()) ? before : present;
		}
		return before.leaving() ? before : present;
	}

	/**
	 * Returns the highest era of the store that was seen, 0 before the first response.
	 */
	long era() {
		return Math.max(0, this.era);
	}

	private void observeEra(long latest) {
		long previous = this.era;
		if (latest <= previous) {
			return;
		}
		this.era = latest;
		if (previous >= 0) {
			this.log.log(Event.STORE_RESTORED, "era", latest, "previousEra", previous);
		}
	}

	/**
	 * Returns the configuration in force, or null if none is known yet.
	 */
	@Nullable RouteTable table() {
		return this.table;
	}

	/**
	 * Returns the boot time up to which the configuration is known to be the newest.
	 */
	long confirmedMillis() {
		return this.confirmedMillis;
	}

	/**
	 * Does the periodic work: detects stalls of this process and replaces snapshots that
	 * are due. Called at short intervals.
	 */
	synchronized void onTick(long nowMillis) {
		long stallMillis = this.stallHistory.onTick(nowMillis);
		if (stallMillis > 0) {
			this.log.log(Event.PROCESS_PAUSED, "millis", stallMillis);
		}
		endRetention(nowMillis);
		refreshSnapshots(nowMillis);
	}

	private void endRetention(long nowMillis) {
		FeedView<Upstream> presentUpstreams = this.upstreamRetention.expire(nowMillis);
		if (presentUpstreams != null) {
			applyUpstreams(presentUpstreams);
			publishFleet();
		}
		FeedView<String> presentClosures = this.closureRetention.expire(nowMillis);
		if (presentClosures != null) {
			applyClosedDataCentres(presentClosures);
			publishFleet();
		}
	}

	synchronized boolean loaded() {
		return this.table != null && this.upstreams != null;
	}

	/**
	 * Returns the fleet, or null if the upstreams are not known yet.
	 */
	synchronized @Nullable Fleet fleet() {
		return (this.upstreams != null)
				? new Fleet(this.upstreams, this.closedDataCentres, Map.copyOf(this.targetVersions)) : null;
	}

	synchronized void onConfiguration(FeedView<RouteTable> view) {
		observeEra(view.era());
		RouteTable present = this.table;
		view.entries().values().stream().findFirst().ifPresent((latest) -> {
			if (present != null && latest.version() < present.version()) {
				ignoreConfiguration(latest, present);
				return;
			}
			this.ignoredConfiguration = -1;
			if (present == null || latest.version() > present.version()) {
				this.table = latest;
				this.tableUnpublished = true;
				this.log.log(Event.CONFIGURATION_IN_FORCE, "generation", latest.version(), "source", "store");
			}
			publishTable(latest);
			this.confirmedMillis = view.confirmedMillis();
		});
	}

	/**
	 * Ignores an older configuration, which the store offers after it was restored. The
	 * one in force is not confirmed, since a newer one may have been lost as well.
	 */
	private void ignoreConfiguration(RouteTable offered, RouteTable present) {
		if (this.ignoredConfiguration != offered.version()) {
			this.ignoredConfiguration = offered.version();
			this.log.log(Event.CONFIGURATION_OLDER_IGNORED, "source", "store", "offered", offered.version(),
					"generation", present.version());
		}
	}

	/**
	 * Passes the configuration to the dispatcher, unless the dispatcher has it. After an
	 * error, this is tried again with the next view.
	 */
	private void publishTable(RouteTable latest) {
		if (this.tableUnpublished) {
			this.dispatcher.onRouteTable(latest, BootClock.nowMillis());
			this.changeCount++;
			refreshSnapshots(BootClock.nowMillis());
			this.tableUnpublished = false;
		}
	}

	synchronized void onUpstreams(FeedView<Upstream> view) {
		observeEra(view.era());
		applyUpstreams(this.upstreamRetention.apply(view, BootClock.nowMillis()));
		publishFleet();
	}

	private void applyUpstreams(FeedView<Upstream> view) {
		FeedView<Upstream> present = this.upstreams;
		this.upstreams = view;
		if (present == null || !present.entries().equals(view.entries())
				|| present.regainedMillis() != view.regainedMillis()) {
			this.fleetUnpublished = true;
			this.log.log(Event.UPSTREAMS_CHANGED, "revision", view.revision(), "count", view.entries().size(),
					"leaving", view.entries().values().stream().filter(Upstream::leaving).count());
		}
	}

	synchronized void onClosedDataCentres(FeedView<String> view) {
		observeEra(view.era());
		applyClosedDataCentres(this.closureRetention.apply(view, BootClock.nowMillis()));
		publishFleet();
	}

	private void applyClosedDataCentres(FeedView<String> view) {
		Set<String> closed = Set.copyOf(view.entries().values());
		if (!closed.equals(this.closedDataCentres)) {
			this.closedDataCentres = closed;
			this.fleetUnpublished = true;
			this.log.log(Event.DATA_CENTRES_CLOSED, "revision", view.revision(), "dataCentres", closed);
		}
	}

	synchronized void onTargetVersions(FeedView<ModelVersion> view) {
		observeEra(view.era());
		if (!this.targetVersionsKnown) {
			this.targetVersionsKnown = true;
			this.fleetUnpublished = true;
		}
		this.targetVersionsRevision = view.revision();
		long sinceMillis = targetSinceMillis(view, BootClock.nowMillis());
		view.entries().values().forEach((target) -> {
			if (target.version() > targetVersion(target.model())) {
				List<Fleet.TargetVersion> versions = new ArrayList<>(
						this.targetVersions.getOrDefault(target.model(), List.of()));
				versions.add(new Fleet.TargetVersion(target.version(), sinceMillis));
				this.targetVersions.put(target.model(), List.copyOf(versions));
				this.fleetUnpublished = true;
				this.log.log(Event.WEIGHTS_NAMED, "model", target.model(), "version", target.version(), "revision",
						view.revision());
			}
			else if (target.version() < targetVersion(target.model()) && this.ignoredTargets.add(target)) {
				this.log.log(Event.CONFIGURATION_OLDER_IGNORED, "source", "store", "offered", target, "generation",
						targetVersion(target.model()));
			}
		});
		this.targetVersionsView = view;
		publishFleet();
	}

	/**
	 * Returns the earliest boot time at which a version that is new in a view may have
	 * become the target version. For the first view after a start, that is long ago. A
	 * view that was listed anew, after an outage or a loss of history, contains changes
	 * of any time since the previous view. One that was received after a stall of this
	 * process contains changes since the start of the stall.
	 */
	private long targetSinceMillis(FeedView<ModelVersion> view, long nowMillis) {
		FeedView<ModelVersion> previous = this.targetVersionsView;
		if (previous == null) {
			return Long.MIN_VALUE / 2;
		}
		boolean gap = view.relisted() || previous.regainedMillis() != view.regainedMillis();
		return gap ? previous.confirmedMillis() : this.stallHistory.earliestSentMillis(nowMillis);
	}

	/**
	 * Waits for a snapshot of a service that differs from the one that an agent has.
	 * @param service name of the service
	 * @param knownHash {@link ServiceSnapshot#contentHash} of the agent's snapshot, or 0
	 * @param waitMillis longest wait
	 * @return the present snapshot, or null if the service is not known
	 */
	synchronized SnapshotPublisher.@Nullable Published awaitSnapshot(String service, long knownHash, long waitMillis)
			throws InterruptedException {
		long deadlineMillis = BootClock.nowMillis() + waitMillis;
		SnapshotPublisher.Published present = snapshot(service, BootClock.nowMillis());
		long leftMillis = waitMillis;
		while ((present == null || present.contentHash() == knownHash) && leftMillis > 0) {
			wait(leftMillis);
			present = snapshot(service, BootClock.nowMillis());
			leftMillis = deadlineMillis - BootClock.nowMillis();
		}
		return present;
	}

	/**
	 * Returns the published snapshot of a service, replaced first if it is outdated and
	 * may be replaced now, or null if the service is not known.
	 */
	synchronized SnapshotPublisher.@Nullable Published snapshot(String service, long nowMillis) {
		refreshSnapshot(service, nowMillis);
		return this.snapshots.get(service);
	}

	/**
	 * Replaces the snapshot of a service if it is outdated and may be replaced now.
	 * @return whether it was replaced
	 */
	private boolean refreshSnapshot(String service, long nowMillis) {
		return this.snapshots.outdated(service, this.changeCount)
				&& this.snapshots.replaceIfDue(service, buildSnapshot(service), this.changeCount, nowMillis);
	}

	private @Nullable ServiceSnapshot buildSnapshot(String service) {
		RouteTable present = this.table;
		FeedView<Upstream> view = this.upstreams;
		if (present == null || view == null || !this.targetVersionsKnown) {
			return null;
		}
		this.snapshotRevision = Math.max(this.snapshotRevision, Math.max(view.revision(), this.targetVersionsRevision));
		return present.service(service)
			.filter(ServiceProfile.Engines.class::isInstance)
			.map(ServiceProfile.Engines.class::cast)
			.map((profile) -> ServiceSnapshot.of(this.snapshotRevision, profile, present.origin().orElse(null),
					targetVersion(profile.model()), List.copyOf(view.entries().values())))
			.orElse(null);
	}

	private long targetVersion(String model) {
		return this.targetVersions.getOrDefault(model, List.of())
			.stream()
			.mapToLong(Fleet.TargetVersion::version)
			.max()
			.orElse(ServiceSnapshot.FIRST_VERSION);
	}

	/**
	 * Passes upstreams, closed data centres and target versions to the dispatcher, unless
	 * the dispatcher has them. After an error, this is tried again with the next view.
	 */
	private void publishFleet() {
		if (!this.fleetUnpublished) {
			return;
		}
		this.changeCount++;
		refreshSnapshots(BootClock.nowMillis());
		Fleet latest = fleet();
		if (latest != null) {
			this.dispatcher.onFleet(latest, BootClock.nowMillis());
		}
		this.fleetUnpublished = false;
	}

	private void refreshSnapshots(long nowMillis) {
		List<String> services = this.snapshots.services();
		long replaced = services.stream().filter((service) -> refreshSnapshot(service, nowMillis)).count();
		if (replaced > 0 || services.isEmpty()) {
			notifyAll();
		}
	}

}
