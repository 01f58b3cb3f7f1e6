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
 * Probes random peers and fetches newer configurations and lists of VMs from them.
 */
final class PeerProbe {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * Spreads the fetches over time when many processes see a new generation at the same
	 * moment.
	 */
	private static final long FETCH_JITTER_MILLIS = 200;

	private static final int MAX_SHUFFLED_VMS = 32;

	/**
	 * More than one draw per peer, because a draw may yield the own address or a
	 * repetition.
	 */
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
	 * Returns up to {@code count} random live peers, without this process.
	 */
	List<Address> randomPeers(int count) {
		List<VmRecord> live = this.membership.liveList();
		if (live.size() <= MAX_SHUFFLED_VMS) {
			List<Address> peers = new ArrayList<>(live.stream().map(VmRecord::address).filter(this::isOther).toList());
			Collections.shuffle(peers, ThreadLocalRandom.current());
			return peers.stream().limit(count).toList();
		}
		// In a long list, a few draws almost never repeat. Shuffling the whole list costs
		// more than a probe.
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
	 * Sends a probe and reads the probe in the response.
	 * @return whether the peer responded with a probe
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
			// Not logged: the next round probes other peers.
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Fetches the configuration of a peer after a short random delay, if it is newer and
	 * no fetch is in flight.
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
	 * fetch is in flight.
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
	 * Fetches the configuration of a peer immediately. A failure is not logged, because
	 * another message or probe reports the newer generation again.
	 */
	void fetchConfiguration(Address source) {
		get(source, "/v1/configuration", (body) -> this.configuration
			.adoptIfNewer(Json.read(body, AppliedConfiguration.class), source.toString()));
	}

	/**
	 * Fetches the list of VMs of a peer and merges it if no VMs are known yet.
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
			// Not logged: the callers document how a failed fetch is made up for.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
