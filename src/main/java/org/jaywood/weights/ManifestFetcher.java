package org.jaywood.weights;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.jaywood.store.VmRecord;
import org.jaywood.weights.ChunkClient.FetchResponse;
import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;
import org.jaywood.wire.WireClient;

/**
 * Fetches manifests. For each manifest the VMs form a distribution tree, as for a chunk:
 * the root fetches the manifest from the weight store, each other VM fetches it from its
 * parent.
 */
final class ManifestFetcher {

	private static final int MAX_MANIFEST_BYTES = 2 * 1024 * 1024;

	/**
	 * If the manifest is still missing this long after it became a target, and the
	 * parent, or for the root the weight store, does not return it, a random VM of the
	 * swarm is queried too.
	 */
	private static final long OTHER_PEERS_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * If the manifest is still missing this long after it became a target, this VM
	 * queries the weight store although it is not the root.
	 */
	private static final long STORE_FALLBACK_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final Swarm swarm;

	private final ChunkClient client;

	private final WireClient peerClient;

	private final WireClient storeClient;

	private final Address storeAddress;

	private long storeRetryAtNanos;

	ManifestFetcher(Swarm swarm, ChunkClient client, WireClient peerClient, WireClient storeClient,
			Address storeAddress) {
		this.swarm = swarm;
		this.client = client;
		this.peerClient = peerClient;
		this.storeClient = storeClient;
		this.storeAddress = storeAddress;
		this.storeRetryAtNanos = System.nanoTime();
	}

	/**
	 * Attempts to fetch a manifest once.
	 * @param digest digest of the manifest
	 * @param targetSetAtNanos time of System.nanoTime() at which the manifest became a
	 * target of this VM
	 * @return its verified content, or empty if this attempt fails
	 */
	Optional<byte[]> tryFetch(String digest, long targetSetAtNanos) throws InterruptedException {
		long nowNanos = System.nanoTime();
		long waitedNanos = nowNanos - targetSetAtNanos;
		Swarm.View view = this.swarm.view(digest, nowNanos);
		Optional<VmRecord> parent = view.parent(digest);
		Optional<byte[]> content = parent.isPresent() ? fromPeer(digest, parent.get()) : fromStore(digest, nowNanos);
		if (content.isEmpty() && waitedNanos > OTHER_PEERS_AFTER_NANOS && !view.others().isEmpty()) {
			content = fromPeer(digest, random(view.others()));
		}
		boolean storeTried = parent.isEmpty();
		return (content.isEmpty() && !storeTried && waitedNanos > STORE_FALLBACK_AFTER_NANOS)
				? fromStore(digest, nowNanos) : content;
	}

	private static VmRecord random(List<VmRecord> vms) {
		return vms.get(ThreadLocalRandom.current().nextInt(vms.size()));
	}

	private Optional<byte[]> fromPeer(String digest, VmRecord peer) throws InterruptedException {
		try {
			FetchResponse response = this.client.get(this.peerClient, peer.address().uri("/v1/manifests/" + digest),
					MAX_MANIFEST_BYTES, ChunkClient.PEER_HEADER_TIMEOUT);
			return verifiedContent(digest, response);
		}
		catch (IOException ex) {
			this.swarm.markFailed(peer.address(), System.nanoTime());
			return Optional.empty();
		}
	}

	private Optional<byte[]> fromStore(String digest, long nowNanos) throws InterruptedException {
		if (nowNanos - this.storeRetryAtNanos < 0) {
			return Optional.empty();
		}
		long retryMillis = 500;
		try {
			FetchResponse response = this.client.get(this.storeClient, this.storeAddress.uri("/manifests/" + digest),
					MAX_MANIFEST_BYTES, ChunkClient.STORE_HEADER_TIMEOUT);
			retryMillis = Math.max(retryMillis, response.retryAfterMillis());
			Optional<byte[]> content = verifiedContent(digest, response);
			if (content.isPresent()) {
				return content;
			}
		}
		catch (IOException ex) {
			// The weight store is queried again after the retry time.
		}
		this.storeRetryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(retryMillis);
		return Optional.empty();
	}

	private static Optional<byte[]> verifiedContent(String digest, FetchResponse response) {
		return (response.status() == 200 && Digests.sha256(response.body()).equals(digest))
				? Optional.of(response.body()) : Optional.empty();
	}

}
