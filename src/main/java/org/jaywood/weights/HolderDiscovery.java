package org.jaywood.weights;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.jaywood.store.VmRecord;
import org.jaywood.weights.ChunkClient.FetchResponse;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Finds sources for missing chunks without an offer. It queries their parents for the
 * chunks they hold, which also detects dead parents, and decides which chunks may be
 * fetched from the weight store.
 */
final class HolderDiscovery {

	private static final long ROUND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Bounds the control traffic. */
	private static final int MAX_QUERIES_PER_ROUND = 4;

	/**
	 * After this time without a verified chunk, each round also queries VMs other than
	 * the parents and allows one more chunk to be fetched from the weight store.
	 */
	private static final long NO_PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(12);

	private static final int MAX_RESPONSE_BYTES = 256 * 1024;

	private final Swarm swarm;

	private final MissingChunks missingChunks;

	private final StagingArea staging;

	private final ChunkClient client;

	private final WireClient peerClient;

	/**
	 * Whether chunks are missing and none was verified for {@link #NO_PROGRESS_NANOS}.
	 */
	private boolean progressTimedOut;

	private long lastRoundNanos = System.nanoTime() - ROUND_INTERVAL_NANOS;

	HolderDiscovery(Swarm swarm, MissingChunks missingChunks, StagingArea staging, ChunkClient client,
			WireClient peerClient) {
		this.swarm = swarm;
		this.missingChunks = missingChunks;
		this.staging = staging;
		this.client = client;
		this.peerClient = peerClient;
	}

	/**
	 * Runs a round of queries if one is due.
	 * @param progressNanos time of the last verified chunk
	 * @param nowNanos present time of the monotonic clock
	 */
	void runIfDue(long progressNanos, long nowNanos) throws InterruptedException {
		if (nowNanos - this.lastRoundNanos < ROUND_INTERVAL_NANOS) {
			return;
		}
		this.lastRoundNanos = nowNanos;
		Map<VmRecord, String> queries = new HashMap<>();
		Map<String, Swarm.View> views = new HashMap<>();
		Map<String, String> missing = this.missingChunks.withoutHolder();
		missing.forEach((chunk, manifest) -> {
			Swarm.View view = views.computeIfAbsent(manifest, (key) -> this.swarm.view(key, nowNanos));
			Optional<VmRecord> parent = view.parent(chunk);
			this.missingChunks.setStoreAllowed(chunk, parent.isEmpty());
			parent.ifPresent((vm) -> queries.put(vm, manifest));
		});
		this.progressTimedOut = !missing.isEmpty() && nowNanos - progressNanos > NO_PROGRESS_NANOS;
		if (this.progressTimedOut) {
			missing.keySet().stream().findAny().ifPresent((chunk) -> this.missingChunks.setStoreAllowed(chunk, true));
			views.forEach((manifest, view) -> view.others().forEach((vm) -> queries.put(vm, manifest)));
		}
		List<VmRecord> targets = new ArrayList<>(queries.keySet());
		Collections.shuffle(targets);
		for (VmRecord vm : targets.subList(0, Math.min(MAX_QUERIES_PER_ROUND, targets.size()))) {
			queryHeldChunks(vm, queries.getOrDefault(vm, ""));
		}
	}

	private void queryHeldChunks(VmRecord vm, String manifest) throws InterruptedException {
		try {
			FetchResponse response = this.client.get(this.peerClient, vm.address().uri("/v1/chunks/held/" + manifest),
					MAX_RESPONSE_BYTES, ChunkClient.PEER_HEADER_TIMEOUT);
			if (response.status() == 200) {
				addHolderFromResponse(Json.read(response.body(), ChunkOffer.class), vm);
			}
		}
		catch (IOException ex) {
			this.swarm.markFailed(vm.address(), System.nanoTime());
		}
	}

	/**
	 * Adds the holder of the chunks in a response. A VM of another region is added only
	 * for chunks of which it is the parent. Otherwise each VM that queries it would fetch
	 * chunks over the region link that a VM of its own region is about to receive.
	 */
	private void addHolderFromResponse(ChunkOffer response, VmRecord holder) {
		if (this.progressTimedOut || holder.region().equals(this.swarm.self().region())) {
			addHolder(response, holder);
			return;
		}
		Swarm.View view = this.swarm.view(response.manifest(), System.nanoTime());
		addHolder(response, holder, (chunk) -> view.parent(chunk).filter(holder::equals).isPresent());
	}

	/**
	 * Adds the holder of offered chunks. Ignores indexes outside the manifest.
	 */
	void addHolder(ChunkOffer offer, VmRecord holder) {
		addHolder(offer, holder, (chunk) -> true);
	}

	private void addHolder(ChunkOffer offer, VmRecord holder, Predicate<String> accepted) {
		this.staging.manifest(offer.manifest())
			.ifPresent((manifest) -> offer.chunks()
				.stream()
				.filter((index) -> index >= 0 && index < manifest.chunks().size())
				.map((index) -> manifest.chunks().get(index))
				.filter(accepted)
				.forEach((chunk) -> this.missingChunks.addHolder(chunk, holder)));
	}

}
