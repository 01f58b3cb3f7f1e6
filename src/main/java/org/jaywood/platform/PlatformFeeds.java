package org.jaywood.platform;

import java.util.Map;
import java.util.Set;

import org.jaywood.event.EventLog;
import org.jaywood.gateway.GatewayFeeds;
import org.jaywood.gateway.LeaderPorts;
import org.jaywood.gateway.SingletonSettings;
import org.jaywood.gateway.TrialLeases;
import org.jaywood.replica.ReplicaFeeds;

/**
 * Creates the feeds of the kinds of objects that jaywood watches in the platform's store,
 * and the leases that it writes there.
 */
public final class PlatformFeeds {

	private final MetadataStoreClient store;

	private final ObjectDecoders decoders;

	private final Set<String> dataCentres;

	private final EventLog log;

	/**
	 * Creates the feeds.
	 * @param regions region of each data centre
	 */
	public PlatformFeeds(MetadataStoreClient store, Map<String, String> regions, EventLog log) {
		this.store = store;
		this.decoders = new ObjectDecoders(regions);
		this.dataCentres = Set.copyOf(regions.keySet());
		this.log = log;
	}

	public GatewayFeeds gateway() {
		return new GatewayFeeds(new ObjectFeed<>(this.store, "config", this.decoders::configuration, this.log),
				new ObjectFeed<>(this.store, "servers", this.decoders::upstream, this.log),
				new ObjectFeed<>(this.store, "evacuations", this.decoders::closedDataCentre, this.log),
				new ObjectFeed<>(this.store, "versions", this.decoders::targetVersion, this.log));
	}

	public TrialLeases trialLeases() {
		return new StoreTrialLeases(this.store);
	}

	/**
	 * Returns the connections of the singletons of a leader.
	 * @param vm name of the VM of this process
	 */
	public LeaderPorts leaderPorts(SingletonSettings singletons, String vm) {
		CloudClient cloud = new CloudClient(singletons.cloud(), singletons.callsPerSecond());
		return new LeaderPorts(singletons, new StoreLeases(this.store), new CloudUsageApi(cloud),
				new StoreUsageCounts(this.store, vm), new CloudScaling(cloud), this.dataCentres);
	}

	public ReplicaFeeds replica() {
		return new ReplicaFeeds(new ObjectFeed<>(this.store, "config", this.decoders::configuration, this.log),
				new ObjectFeed<>(this.store, "servers", this.decoders::upstream, this.log),
				new ObjectFeed<>(this.store, "versions", this.decoders::targetVersion, this.log));
	}

}
