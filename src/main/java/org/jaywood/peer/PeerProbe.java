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

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	/** Spreads the fetches of a fleet that sees a new generation at one moment. */
	private static final long FETCH_JITTER_MILLIS = 200;

	private static final int SMALL_LIST = 32;

	/** Own address and repetitions are drawn in vain. */
	private static final int DRAWS_PER_PEER = 8;

	private final WireClient client;

	private final ConfigurationHolder configuration;

	private final Membership membership;

	private final Address self;

	private final Supplier<Probe> ownProbe;

	private final Consumer<Probe> observer;

	private final Executor tasks;

	private final AtomicBoolean fetching = new AtomicBoolean();

	private final AtomicBoolean fetchingVms = new AtomicBoolean();

	PeerProbe(WireClient client, ConfigurationHolder configuration, Membership membership, Address self,
			Supplier<Probe> ownProbe, Consumer<Probe> observer, Executor tasks) {
		this.client = client;
		this.configuration = configuration;
		this.membership = membership;
		this.self = self;
		this.ownProbe = ownProbe;
		this.observer = observer;
		this.tasks = tasks;
	}

	/**
	 * Random live peers.
	 */
	List<Address> peers(int count) {
		List<VmRecord> live = this.membership.liveList();
		if (live.size() <= SMALL_LIST) {
			List<Address> peers = new ArrayList<>(live.stream().map(VmRecord::address).filter(this::other).toList());
			Collections.shuffle(peers, ThreadLocalRandom.current());
			return peers.stream().limit(count).toList();
		}
		// Of so many, a few draws almost never repeat; shuffling all costs more than a
		// probe.
		return ThreadLocalRandom.current()
			.ints(0, live.size())
			.limit(DRAWS_PER_PEER * (long) count)
			.mapToObj((index) -> live.get(index).address())
			.filter(this::other)
			.distinct()
			.limit(count)
			.toList();
	}

	private boolean other(Address address) {
		return !address.equals(this.self);
	}

	void probeRandom(int count) {
		peers(count).forEach((peer) -> this.tasks.execute(() -> probe(peer)));
	}

	/**
	 * Exchanges a probe.
	 * @return whether the peer answered
	 */
	boolean probe(Address peer) {
		try {
			HttpResponse<byte[]> reply = this.client.post(peer.uri("/v1/probe"), this.ownProbe.get(), TIMEOUT);
			if (reply.statusCode() != 200) {
				return false;
			}
			this.observer.accept(Json.read(reply.body(), Probe.class));
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
	void noteGeneration(long generation, Address source) {
		if (generation > this.configuration.current().generation() && this.fetching.compareAndSet(false, true)) {
			this.tasks.execute(() -> {
				try {
					Futures.pause(ThreadLocalRandom.current().nextLong(FETCH_JITTER_MILLIS));
					if (generation > this.configuration.current().generation()) {
						fetch(source);
					}
				}
				finally {
					this.fetching.set(false);
				}
			});
		}
	}

	/**
	 * Fetches the changes of the list of VMs from a peer whose list is newer, unless a
	 * fetch is under way.
	 */
	void noteMembership(long version, Address source) {
		long own = this.membership.version();
		if (version > own && own > 0 && this.fetchingVms.compareAndSet(false, true)) {
			this.tasks.execute(() -> {
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
	void fetch(Address source) {
		get(source, "/v1/configuration", (body) -> this.configuration
			.adoptIfNewer(Json.read(body, AppliedConfiguration.class), source.toString()));
	}

	/**
	 * Takes the list of VMs of a peer if none is known yet.
	 */
	void adoptVms(Address source) {
		get(source, "/v1/vms", (body) -> this.membership.adopt(Json.read(body, VmPage.class)));
	}

	private void get(Address source, String path, Consumer<byte[]> content) {
		try {
			HttpResponse<byte[]> reply = this.client.get(source.uri(path), TIMEOUT);
			if (reply.statusCode() == 200) {
				content.accept(reply.body());
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
