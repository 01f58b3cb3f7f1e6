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
import org.jaywood.weights.ChunkClient.Fetched;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;

/**
 * Finds sources of chunks without an offer: asks their parents what they hold, which also
 * shows dead parents, and decides which chunks come from the store.
 */
final class HolderDiscovery {

	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Bounds the questions of a round, and so the traffic for control. */
	private static final int MAX_QUESTIONS = 4;

	/** Without progress for this time the store is asked, one chunk in each round. */
	private static final long NO_PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(12);

	private static final int ANSWER_LIMIT_BYTES = 256 * 1024;

	private final Swarm swarm;

	private final WantedChunks wanted;

	private final StagingArea staging;

	private final ChunkClient client;

	private final WireClient peerClient;

	/** Whether chunks are missing and none arrived for a long time. */
	private boolean starving;

	private long lastNanos = System.nanoTime() - INTERVAL_NANOS;

	HolderDiscovery(Swarm swarm, WantedChunks wanted, StagingArea staging, ChunkClient client, WireClient peerClient) {
		this.swarm = swarm;
		this.wanted = wanted;
		this.staging = staging;
		this.client = client;
		this.peerClient = peerClient;
	}

	/**
	 * Runs a round if one is due.
	 * @param progressNanos time of the last verified chunk
	 * @param nowNanos present time of the monotonic clock
	 */
	void run(long progressNanos, long nowNanos) throws InterruptedException {
		if (nowNanos - this.lastNanos < INTERVAL_NANOS) {
			return;
		}
		this.lastNanos = nowNanos;
		Map<VmRecord, String> questions = new HashMap<>();
		Map<String, Swarm.View> views = new HashMap<>();
		Map<String, String> missing = this.wanted.withoutHolder();
		missing.forEach((chunk, manifest) -> {
			Swarm.View view = views.computeIfAbsent(manifest, (key) -> this.swarm.view(key, nowNanos));
			Optional<VmRecord> parent = view.parent(chunk);
			this.wanted.allowStore(chunk, parent.isEmpty());
			parent.ifPresent((vm) -> questions.put(vm, manifest));
		});
		this.starving = !missing.isEmpty() && nowNanos - progressNanos > NO_PROGRESS_NANOS;
		if (this.starving) {
			missing.keySet().stream().findAny().ifPresent((chunk) -> this.wanted.allowStore(chunk, true));
			views.forEach((manifest, view) -> view.others().forEach((vm) -> questions.put(vm, manifest)));
		}
		List<VmRecord> asked = new ArrayList<>(questions.keySet());
		Collections.shuffle(asked);
		for (VmRecord vm : asked.subList(0, Math.min(MAX_QUESTIONS, asked.size()))) {
			ask(vm, questions.getOrDefault(vm, ""));
		}
	}

	private void ask(VmRecord vm, String manifest) throws InterruptedException {
		try {
			Fetched fetched = this.client.get(this.peerClient, vm.address().uri("/v1/chunks/held/" + manifest),
					ANSWER_LIMIT_BYTES, ChunkClient.PEER_HEADERS);
			if (fetched.status() == 200) {
				noteAnswer(Json.read(fetched.body(), ChunkOffer.class), vm);
			}
		}
		catch (IOException ex) {
			this.swarm.suspect(vm.address(), System.nanoTime());
		}
	}

	/**
	 * Notes what a VM of another region holds only as far as it feeds this VM, or each VM
	 * that asks would load over the region link what a neighbour is about to have.
	 */
	private void noteAnswer(ChunkOffer answer, VmRecord holder) {
		if (this.starving || holder.region().equals(this.swarm.self().region())) {
			note(answer, holder);
			return;
		}
		Swarm.View view = this.swarm.view(answer.manifest(), System.nanoTime());
		note(answer, holder, (chunk) -> view.parent(chunk).filter(holder::equals).isPresent());
	}

	/**
	 * Notes what a VM holds; indexes outside the manifest are ignored.
	 */
	void note(ChunkOffer offer, VmRecord holder) {
		note(offer, holder, (chunk) -> true);
	}

	private void note(ChunkOffer offer, VmRecord holder, Predicate<String> accepted) {
		this.staging.manifest(offer.manifest())
			.ifPresent((manifest) -> offer.chunks()
				.stream()
				.filter((index) -> index >= 0 && index < manifest.chunks().size())
				.map((index) -> manifest.chunks().get(index))
				.filter(accepted)
				.forEach((chunk) -> this.wanted.offer(chunk, holder)));
	}

}
