package org.jaywood.peer;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.ConfigurationHolder;
import org.jaywood.store.Futures;
import org.jaywood.store.VmPage;
import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;
import org.jaywood.wire.WireException;

/**
 * Talks to peers: probes random ones and fetches a newer configuration from a peer that
 * shows one.
 */
final class PeerProbe {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	/** Spreads the fetches of a fleet that sees a new generation at one moment. */
	private static final long FETCH_JITTER_MILLIS = 200;

	private static final int MAX_SHUFFLED_VMS = 32;

	/** Own address and repetitions are drawn in vain. */
	private static final int DRAWS_PER_PEER = 8;

	private final WireClient client;

	private final ConfigurationHolder configuration;

	private final Membership membership;

	private final Address self;

	private final Supplier<Probe> ownProbe;

	private final Consumer<Probe> probeListener;

	private final Executor executor;

	private final AtomicBoolean fetchingConfiguration = new AtomicBoolean();

	private final AtomicBoolean fetchingVms = new AtomicBoolean();

	PeerProbe(WireClient client, ConfigurationHolder configuration, Membership membership, Address self,
			Supplier<Probe> ownProbe, Consumer<Probe> probeListener, Executor executor) {
		this.client = client;
		this.configuration = configuration;
		this.membership = membership;
		this.self = self;
		this.ownProbe = ownProbe;
		this.probeListener = probeListener;
		this.executor = executor;
	}

	/**
	 * Random live peers.
	 */
	List<Address> randomPeers(int count) {
		List<VmRecord> live = this.membership.liveList();
		if (live.size() <= MAX_SHUFFLED_VMS) {
			List<Address> peers = new ArrayList<>(live.stream().map(VmRecord::address).filter(this::isOther).toList());
			Collections.shuffle(peers, ThreadLocalRandom.current());
			return peers.stream().limit(count).toList();
		}
		// Of so many, a few draws almost never repeat; shuffling all costs more than a
		// probe.
		return ThreadLocalRandom.current()
			.ints(0, live.size())
			.limit(DRAWS_PER_PEER * (long) count)
			.mapToObj((index) -> live.get(index).address())
			.filter(this::isOther)
			.distinct()
			.limit(count)
			.toList();
	}

	private boolean isOther(Address address) {
		return !address.equals(this.self);
	}

	void probeRandomPeers(int count) {
		randomPeers(count).forEach((peer) -> this.executor.execute(() -> probe(peer)));
	}

	/**
	 * Exchanges a probe.
	 * @return whether the peer answered
	 */
	boolean probe(Address peer) {
		try {
			HttpResponse<byte[]> response = this.client.post(peer.uri("/v1/probe"), this.ownProbe.get(),
					REQUEST_TIMEOUT);
			if (response.statusCode() != 200) {
				return false;
			}
			this.probeListener.accept(Json.read(response.body(), Probe.class));
			return true;
		}
		catch (IOException | WireException ex) {
			// An unreachable peer is not an event: the next round probes others.
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Fetches the configuration of a peer soon, if it is newer and no fetch is under way.
	 */
	void onPeerGeneration(long generation, Address source) {
		if (generation > this.configuration.current().generation()
				&& this.fetchingConfiguration.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				try {
					Futures.pause(ThreadLocalRandom.current().nextLong(FETCH_JITTER_MILLIS));
					if (generation > this.configuration.current().generation()) {
						fetchConfiguration(source);
					}
				}
				finally {
					this.fetchingConfiguration.set(false);
				}
			});
		}
	}

	/**
	 * Fetches the changes of the list of VMs from a peer whose list is newer, unless a
	 * fetch is under way.
	 */
	void onPeerMembershipVersion(long version, Address source) {
		long own = this.membership.version();
		if (version > own && own > 0 && this.fetchingVms.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				try {
					get(source, "/v1/vms?after=" + own,
							(body) -> this.membership.mergeFromPeer(Json.read(body, VmPage.class)));
				}
				finally {
					this.fetchingVms.set(false);
				}
			});
		}
	}

	/**
	 * Fetches the configuration of a peer now. A failure is not an event: another message
	 * or probe shows the newer generation again.
	 */
	void fetchConfiguration(Address source) {
		get(source, "/v1/configuration", (body) -> this.configuration
			.adoptIfNewer(Json.read(body, AppliedConfiguration.class), source.toString()));
	}

	/**
	 * Takes the list of VMs of a peer if none is known yet.
	 */
	void fetchVmsIfUnknown(Address source) {
		get(source, "/v1/vms", (body) -> this.membership.mergeIfEmpty(Json.read(body, VmPage.class)));
	}

	private void get(Address source, String path, Consumer<byte[]> content) {
		try {
			HttpResponse<byte[]> response = this.client.get(source.uri(path), REQUEST_TIMEOUT);
			if (response.statusCode() == 200) {
				content.accept(response.body());
			}
		}
		catch (IOException | WireException ex) {
			// See the contract of the callers.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
