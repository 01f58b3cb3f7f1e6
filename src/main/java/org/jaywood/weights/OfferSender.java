package org.jaywood.weights;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;
import org.jaywood.wire.WireClient;

/**
 * Offers verified chunks to the VMs that receive them from this VM. One offer lists
 * several chunks. A lost offer delays a receiver only until its next query for held
 * chunks.
 */
final class OfferSender {

	private static final Duration OFFER_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * Time during which verified chunks are collected into one offer. The transfer of a
	 * chunk takes longer than this on the links.
	 */
	private static final long BATCH_WINDOW_MILLIS = 10;

	private static final int MAX_CONCURRENT_OFFERS = 32;

	private final BlockingQueue<VerifiedChunk> queue = new ArrayBlockingQueue<>(Manifest.MAX_CHUNKS);

	private final Semaphore sendPermits = new Semaphore(MAX_CONCURRENT_OFFERS);

	private final Swarm swarm;

	private final WireClient client;

	private final ExecutorService executor;

	OfferSender(Swarm swarm, WireClient client, ExecutorService executor) {
		this.swarm = swarm;
		this.client = client;
		this.executor = executor;
	}

	/**
	 * Queues a verified chunk for the next offers. Dropped if the queue is full.
	 */
	void onChunkVerified(String manifest, String chunk, int index) {
		this.queue.offer(new VerifiedChunk(manifest, chunk, index));
	}

	/**
	 * Sends offers until interrupted.
	 */
	void run() throws InterruptedException {
		while (true) {
			List<VerifiedChunk> batch = new ArrayList<>();
			batch.add(this.queue.take());
			TimeUnit.MILLISECONDS.sleep(BATCH_WINDOW_MILLIS);
			this.queue.drainTo(batch);
			Map<String, Map<Address, List<Integer>>> offers = new HashMap<>();
			Map<String, Swarm.View> views = new HashMap<>();
			long nowNanos = System.nanoTime();
			for (VerifiedChunk item : batch) {
				Swarm.View view = views.computeIfAbsent(item.manifest(), (key) -> this.swarm.view(key, nowNanos));
				for (VmRecord child : view.children(item.chunk())) {
					offers.computeIfAbsent(item.manifest(), (key) -> new HashMap<>())
						.computeIfAbsent(child.address(), (key) -> new ArrayList<>())
						.add(item.index());
				}
			}
			for (Map.Entry<String, Map<Address, List<Integer>>> entry : offers.entrySet()) {
				for (Map.Entry<Address, List<Integer>> offer : entry.getValue().entrySet()) {
					this.sendPermits.acquire();
					this.executor.execute(() -> send(offer.getKey(),
							new ChunkOffer(entry.getKey(), this.swarm.self().address(), offer.getValue())));
				}
			}
		}
	}

	private void send(Address child, ChunkOffer offer) {
		try {
			this.client.post(child.uri("/v1/chunks/offers"), offer, OFFER_TIMEOUT);
		}
		catch (IOException ex) {
			// A receiver that did not get the offer queries this VM for the chunks it
			// holds.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.sendPermits.release();
		}
	}

	private record VerifiedChunk(String manifest, String chunk, int index) {
	}

}
