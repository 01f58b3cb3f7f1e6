package org.jaywood.weights;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.jaywood.store.VmRecord;
import org.jaywood.weights.ChunkClient.Fetched;
import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;
import org.jaywood.wire.WireClient;

/**
 * Fetches manifests the way chunks are fetched: the root of a manifest's tree from the
 * store, everyone else from its parent.
 */
final class ManifestFetcher {

	private static final int LIMIT_BYTES = 2 * 1024 * 1024;

	/** After this time other peers are asked as well, and then the store. */
	private static final long PARENT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long PEERS_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final Swarm swarm;

	private final ChunkClient client;

	private final WireClient peerClient;

	private final WireClient storeClient;

	private final Address store;

	private long storeNotBeforeNanos;

	ManifestFetcher(Swarm swarm, ChunkClient client, WireClient peerClient, WireClient storeClient, Address store) {
		this.swarm = swarm;
		this.client = client;
		this.peerClient = peerClient;
		this.storeClient = storeClient;
		this.store = store;
		this.storeNotBeforeNanos = System.nanoTime();
	}

	/**
	 * Tries to fetch a manifest once.
	 * @param digest digest of the manifest
	 * @param wantedNanos time since when it is wanted
	 * @return its verified content
	 */
	Optional<byte[]> fetch(String digest, long wantedNanos) throws InterruptedException {
		long nowNanos = System.nanoTime();
		long waitedNanos = nowNanos - wantedNanos;
		Swarm.View view = this.swarm.view(digest, nowNanos);
		Optional<VmRecord> parent = view.parent(digest);
		if (parent.isEmpty()) {
			return fromStore(digest, nowNanos);
		}
		Optional<byte[]> content = fromPeer(digest, parent.get());
		if (content.isEmpty() && waitedNanos > PARENT_NANOS) {
			List<VmRecord> others = view.others();
			content = fromPeer(digest, others.get(ThreadLocalRandom.current().nextInt(others.size())));
		}
		return (content.isEmpty() && waitedNanos > PEERS_NANOS) ? fromStore(digest, nowNanos) : content;
	}

	private Optional<byte[]> fromPeer(String digest, VmRecord peer) throws InterruptedException {
		try {
			Fetched fetched = this.client.get(this.peerClient, peer.address().uri("/v1/manifests/" + digest),
					LIMIT_BYTES, ChunkClient.PEER_HEADERS);
			return checked(digest, fetched);
		}
		catch (IOException ex) {
			this.swarm.suspect(peer.address(), System.nanoTime());
			return Optional.empty();
		}
	}

	private Optional<byte[]> fromStore(String digest, long nowNanos) throws InterruptedException {
		if (nowNanos - this.storeNotBeforeNanos < 0) {
			return Optional.empty();
		}
		long retryMillis = 500;
		try {
			Fetched fetched = this.client.get(this.storeClient, this.store.uri("/manifests/" + digest), LIMIT_BYTES,
					ChunkClient.STORE_HEADERS);
			retryMillis = Math.max(retryMillis, fetched.retryAfterMillis());
			Optional<byte[]> content = checked(digest, fetched);
			if (content.isPresent()) {
				return content;
			}
		}
		catch (IOException ex) {
			// The store is tried again after the pause.
		}
		this.storeNotBeforeNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(retryMillis);
		return Optional.empty();
	}

	private static Optional<byte[]> checked(String digest, Fetched fetched) {
		return (fetched.status() == 200 && Digests.sha256(fetched.body()).equals(digest)) ? Optional.of(fetched.body())
				: Optional.empty();
	}

}
