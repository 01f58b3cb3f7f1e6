package org.jaywood.replica;

import java.io.IOException;
import java.util.List;
import java.util.Objects;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedEntry;
import org.jaywood.feed.FeedException;
import org.jaywood.feed.FeedPage;
import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.SnapshotReply;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;
import org.jaywood.wire.DaemonThreads;

/**
 * Keeps the service state of an agent current. It polls one of the gateways that receive
 * its reports and have store contact, since each call to the store is paid for. It reads
 * the store itself only at its start, when gateways may still be starting too, and while
 * there is no such gateway.
 */
final class SnapshotSync {

	/**
	 * Wait of a gateway in a long poll; one that is silent for longer is taken as lost.
	 */
	private static final long POLL_WAIT_MILLIS = 2_000;

	/** Time without an answer of a gateway after which the store is read. */
	private static final long STORE_FALLBACK_DELAY_MILLIS = 4_000;

	private static final long STORE_READ_INTERVAL_MILLIS = 2_000;

	private static final long RETRY_DELAY_MILLIS = 200;

	private final ReplicaSettings settings;

	private final ServiceState serviceState;

	private final ReplicaFeeds feeds;

	private final PeerClient peerClient;

	private final EventLog log;

	private final GatewayDirectory gateways;

	private long lastContactMillis;

	private long lastStoreReadMillis = Long.MIN_VALUE / 2;

	private boolean storeUnreachable;

	private volatile boolean closed;

	SnapshotSync(ReplicaSettings settings, ServiceState serviceState, ReplicaFeeds feeds, PeerClient peerClient,
			EventLog log) {
		this.settings = settings;
		this.serviceState = serviceState;
		this.feeds = feeds;
		this.peerClient = peerClient;
		this.log = log;
		this.gateways = new GatewayDirectory(settings.dataCentre(), settings.vm());
	}

	SnapshotSync start() {
		this.lastContactMillis = BootClock.nowMillis();
		DaemonThreads.startDaemon("fleet-sync", this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Adds a gateway that receives reports.
	 */
	void addGateway(Address gateway, String dataCentre) {
		this.gateways.add(gateway, dataCentre);
	}

	void removeGateway(Address gateway) {
		this.gateways.remove(gateway);
	}

	private void run() {
		while (!this.closed) {
			try {
				boolean current = this.gateways.pollOrder(BootClock.nowMillis()).stream().anyMatch(this::poll);
				if (!current) {
					readStoreIfDue(BootClock.nowMillis());
					Thread.sleep(RETRY_DELAY_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException | Error ex) {
				new TaskGuard("fleet-sync", this.log).onError(ex);
				this.closed = this.closed || interruptedDuringDelay();
			}
		}
	}

	private static boolean interruptedDuringDelay() {
		try {
			Thread.sleep(RETRY_DELAY_MILLIS);
			return false;
		}
		catch (InterruptedException ex) {
			return true;
		}
	}

	/**
	 * Polls a gateway for a changed snapshot.
	 * @return whether it has store contact, so that no other gateway need be asked
	 */
	private boolean poll(Address gateway) {
		try {
			SnapshotReply reply = this.peerClient.pollSnapshot(gateway, this.settings.service(),
					this.serviceState.contentHash(), POLL_WAIT_MILLIS);
			if (!this.serviceState.observeEra(reply.era())) {
				markUnavailable(gateway, "has not seen the restore of the store");
				return false;
			}
			ServiceSnapshot snapshot = reply.digest();
			if (snapshot != null && (reply.current() || !this.serviceState.hasSnapshot())) {
				this.serviceState.onSnapshot(snapshot);
			}
			if (!reply.current()) {
				markUnavailable(gateway, "no store contact");
				return false;
			}
			if (this.gateways.markAvailable(gateway)) {
				this.log.log(Event.FEED_REGAINED, "feed", "gateway " + gateway, "millis",
						BootClock.nowMillis() - this.lastContactMillis);
			}
			this.lastContactMillis = BootClock.nowMillis();
			this.serviceState.onStoreContact(this.lastContactMillis);
			return true;
		}
		catch (IOException | RuntimeException | Error ex) {
			markUnavailable(gateway, ex.toString());
			return false;
		}
	}

	private void markUnavailable(Address gateway, String reason) {
		if (this.gateways.markUnavailable(gateway, BootClock.nowMillis())) {
			this.log.log(Event.FEED_LOST, "feed", "gateway " + gateway, "revision", this.serviceState.contentHash(),
					"error", reason);
		}
	}

	private void readStoreIfDue(long nowMillis) {
		boolean stale = !this.serviceState.hasSnapshot()
				|| nowMillis - this.lastContactMillis > STORE_FALLBACK_DELAY_MILLIS;
		if (!stale || nowMillis - this.lastStoreReadMillis <= STORE_READ_INTERVAL_MILLIS) {
			return;
		}
		this.lastStoreReadMillis = nowMillis;
		try {
			this.serviceState.onSnapshot(readStore());
			this.serviceState.onStoreContact(nowMillis);
			if (this.storeUnreachable) {
				this.log.log(Event.FEED_REGAINED, "feed", "store", "millis", nowMillis - this.lastContactMillis);
			}
			this.storeUnreachable = false;
		}
		catch (FeedException | RuntimeException | Error ex) {
			if (!this.storeUnreachable) {
				this.log.log(Event.FEED_LOST, "feed", "store", "revision", this.serviceState.contentHash(), "error",
						ex);
			}
			this.storeUnreachable = true;
		}
	}

	private ServiceSnapshot readStore() throws FeedException {
		RouteTable table = values(this.feeds.configuration().list()).stream()
			.findFirst()
			.orElseThrow(() -> new FeedException("no configuration in the store", null));
		ServiceProfile.Engines profile = table.service(this.settings.service())
			.filter(ServiceProfile.Engines.class::isInstance)
			.map(ServiceProfile.Engines.class::cast)
			.orElseThrow(() -> new FeedException("service " + this.settings.service() + " has no engines", null));
		FeedPage<Upstream> upstreams = this.feeds.upstreams().list();
		long version = values(this.feeds.targetVersions().list()).stream()
			.filter((weights) -> weights.model().equals(profile.model()))
			.mapToLong(ModelVersion::version)
			.max()
			.orElse(ServiceSnapshot.FIRST_VERSION);
		return ServiceSnapshot.of(upstreams.revision(), profile, table.origin().orElse(null), version,
				values(upstreams));
	}

	private <T> List<T> values(FeedPage<T> page) throws FeedException {
		if (!this.serviceState.observeEra(page.era())) {
			throw new FeedException("response of era " + page.era() + ", which has ended", null);
		}
		return page.entries().stream().map(FeedEntry::value).filter(Objects::nonNull).toList();
	}

}
