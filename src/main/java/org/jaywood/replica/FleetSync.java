package org.jaywood.replica;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.feed.FeedEntry;
import org.jaywood.feed.FeedException;
import org.jaywood.feed.FeedPage;
import org.jaywood.routing.FleetDigest;
import org.jaywood.routing.NamedWeights;
import org.jaywood.routing.RouteTable;
import org.jaywood.routing.ServiceProfile;
import org.jaywood.routing.Upstream;
import org.jaywood.wire.Address;

/**
 * Keeps an agent informed of its service. It asks one of the gateways that receive its
 * reports, since each call to the store is paid for, and reads the store itself only
 * while no gateway answers.
 */
final class FleetSync {

	private static final long WAIT_MILLIS = 10_000;

	/** Time without a gateway after which the store is read. */
	private static final long STORE_AFTER_MILLIS = 4_000;

	private static final long STORE_INTERVAL_MILLIS = 2_000;

	private static final long PAUSE_MILLIS = 200;

	private final ReplicaSettings settings;

	private final FleetKnowledge fleet;

	private final ReplicaFeeds feeds;

	private final PeerPieces peers;

	private final EventLog log;

	private final Map<Address, String> gateways = new ConcurrentHashMap<>();

	private long informedMillis;

	private long storeReadMillis;

	private boolean storeLost;

	private volatile boolean closed;

	FleetSync(ReplicaSettings settings, FleetKnowledge fleet, ReplicaFeeds feeds, PeerPieces peers, EventLog log) {
		this.settings = settings;
		this.fleet = fleet;
		this.feeds = feeds;
		this.peers = peers;
		this.log = log;
	}

	FleetSync start() {
		this.informedMillis = BootClock.nowMillis();
		Thread.ofVirtual().name("fleet-sync").start(this::run);
		return this;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Notes a gateway that receives reports.
	 */
	void onGateway(Address gateway, String dataCentre) {
		this.gateways.put(gateway, dataCentre);
	}

	void onGatewayGone(Address gateway) {
		this.gateways.remove(gateway);
	}

	private void run() {
		while (!this.closed) {
			boolean informed = nearestFirst().stream().anyMatch(this::ask);
			try {
				if (!informed) {
					readStoreIfDue(BootClock.nowMillis());
					Thread.sleep(PAUSE_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private List<Address> nearestFirst() {
		return this.gateways.entrySet()
			.stream()
			.sorted(Comparator.<Map.Entry<Address, String>, Boolean>comparing(
					(gateway) -> !gateway.getValue().equals(this.settings.dataCentre()))
				.thenComparing((gateway) -> (gateway.getKey() + this.settings.vm()).hashCode()))
			.map(Map.Entry::getKey)
			.toList();
	}

	private boolean ask(Address gateway) {
		try {
			FleetDigest digest = this.peers.digest(gateway, this.settings.service(), this.fleet.content(), WAIT_MILLIS);
			this.fleet.onDigest(digest);
			this.informedMillis = BootClock.nowMillis();
			return true;
		}
		catch (IOException | RuntimeException ex) {
			this.log.log(Event.FEED_LOST, "feed", "gateway " + gateway, "revision", this.fleet.content(), "error",
					ex.getMessage());
			return false;
		}
	}

	private void readStoreIfDue(long nowMillis) {
		boolean due = nowMillis - this.informedMillis > STORE_AFTER_MILLIS
				&& nowMillis - this.storeReadMillis > STORE_INTERVAL_MILLIS;
		if (!due) {
			return;
		}
		this.storeReadMillis = nowMillis;
		try {
			this.fleet.onDigest(readStore());
			if (this.storeLost) {
				this.log.log(Event.FEED_REGAINED, "feed", "store", "millis", nowMillis - this.informedMillis);
			}
			this.storeLost = false;
		}
		catch (FeedException ex) {
			if (!this.storeLost) {
				this.log.log(Event.FEED_LOST, "feed", "store", "revision", this.fleet.content(), "error",
						ex.getMessage());
			}
			this.storeLost = true;
		}
	}

	private FleetDigest readStore() throws FeedException {
		RouteTable table = values(this.feeds.configuration().list()).stream()
			.findFirst()
			.orElseThrow(() -> new FeedException("no configuration", null));
		ServiceProfile.Engines profile = table.service(this.settings.service())
			.filter(ServiceProfile.Engines.class::isInstance)
			.map(ServiceProfile.Engines.class::cast)
			.orElseThrow(() -> new FeedException("service " + this.settings.service() + " has no engines", null));
		FeedPage<Upstream> upstreams = this.feeds.upstreams().list();
		long version = values(this.feeds.weights().list()).stream()
			.filter((weights) -> weights.model().equals(profile.model()))
			.mapToLong(NamedWeights::version)
			.max()
			.orElse(FleetDigest.FIRST_VERSION);
		return FleetDigest.of(upstreams.revision(), profile, table.origin().orElse(null), version, values(upstreams));
	}

	private static <T> List<T> values(FeedPage<T> page) {
		return page.entries().stream().map(FeedEntry::value).filter(Objects::nonNull).toList();
	}

}
