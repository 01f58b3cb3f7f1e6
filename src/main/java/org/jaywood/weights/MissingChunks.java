package org.jaywood.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.store.VmRecord;

/**
 * The chunks that this VM still has to fetch, with the VMs that hold them. A chunk that
 * is being fetched is not returned again until its fetch ends. There is at most one entry
 * for each chunk of the target manifests, each with at most
 * {@value #MAX_HOLDERS_PER_CHUNK} holders.
 */
final class MissingChunks {

	private static final int MAX_HOLDERS_PER_CHUNK = 4;

	private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private final VmRecord self;

	private final WeightMode mode;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private long storeRetryAtNanos;

	MissingChunks(VmRecord self, WeightMode mode, long nowNanos) {
		this.self = self;
		this.mode = mode;
		this.storeRetryAtNanos = nowNanos;
	}

	synchronized void clear() {
		this.entries.clear();
		notifyAll();
	}

	synchronized void add(String manifestDigest, Manifest manifest, int index, long nowNanos) {
		this.entries.putIfAbsent(manifest.chunks().get(index),
				new Entry(manifestDigest, manifest.sizeOf(index), nowNanos));
	}

	/**
	 * Adds a VM that holds a chunk. Has no effect if the chunk is not missing or already
	 * has {@value #MAX_HOLDERS_PER_CHUNK} holders.
	 */
	synchronized void addHolder(String chunk, VmRecord holder) {
		Entry entry = this.entries.get(chunk);
		if (entry != null && entry.holders.size() < MAX_HOLDERS_PER_CHUNK) {
			entry.holders.put(holder.vm(), holder);
			notifyAll();
		}
	}

	/**
	 * Sets whether a chunk may be fetched from the weight store.
	 */
	synchronized void setStoreAllowed(String chunk, boolean allowed) {
		Entry entry = this.entries.get(chunk);
		if (entry != null) {
			entry.storeAllowed = allowed;
			notifyAll();
		}
	}

	/**
	 * Returns the chunks that have no holder and no fetch in flight, with the digests of
	 * their manifests.
	 */
	synchronized Map<String, String> withoutHolder() {
		Map<String, String> found = new HashMap<>();
		this.entries.forEach((chunk, entry) -> {
			if (entry.holders.isEmpty() && !entry.fetching) {
				found.put(chunk, entry.manifestDigest);
			}
		});
		return found;
	}

	synchronized boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Returns a chunk that can be fetched now, waiting for one if necessary.
	 * @param waitMillis longest wait
	 * @return the chunk, or empty if none can be fetched
	 */
	synchronized Optional<ChunkFetch> poll(long waitMillis) throws InterruptedException {
		Optional<ChunkFetch> found = pollNow(System.nanoTime());
		if (found.isEmpty()) {
			TimeUnit.NANOSECONDS.timedWait(this, waitNanos(waitMillis, System.nanoTime()));
			found = pollNow(System.nanoTime());
		}
		return found;
	}

	/**
	 * Returns the time until the first chunk with a holder may be fetched, at most the
	 * given wait. A fetch thread that waits longer would leave the link idle.
	 */
	private long waitNanos(long waitMillis, long nowNanos) {
		return this.entries.values()
			.stream()
			.filter((entry) -> !entry.fetching && !entry.holders.isEmpty())
			.mapToLong((entry) -> Math.max(MIN_WAIT_NANOS, entry.retryAtNanos - nowNanos))
			.reduce(TimeUnit.MILLISECONDS.toNanos(waitMillis), Math::min);
	}

	/**
	 * Returns a chunk that can be fetched, or empty if there is none, without waiting.
	 * The chunk is chosen at random, so that the VMs of a data centre request different
	 * chunks; in PLAIN mode it is the one that was added first.
	 */
	private Optional<ChunkFetch> pollNow(long nowNanos) {
		boolean storeReady = nowNanos - this.storeRetryAtNanos >= 0;
		List<Map.Entry<String, Entry>> ready = new ArrayList<>(this.entries.entrySet()
			.stream()
			.filter((item) -> item.getValue().isFetchable(nowNanos, storeReady))
			.toList());
		if (ready.isEmpty()) {
			return Optional.empty();
		}
		Map.Entry<String, Entry> chosen = ready
			.get((this.mode == WeightMode.PLAIN) ? 0 : ThreadLocalRandom.current().nextInt(ready.size()));
		Entry entry = chosen.getValue();
		entry.fetching = true;
		return Optional.of(new ChunkFetch(chosen.getKey(), entry.manifestDigest, entry.bytes, nearestHolder(entry)));
	}

	private @Nullable VmRecord nearestHolder(Entry entry) {
		List<VmRecord> holders = new ArrayList<>(entry.holders.values());
		Collections.shuffle(holders);
		return holders.stream()
			.min(Comparator.comparing((VmRecord vm) -> Distance.between(this.self, vm)))
			.orElse(null);
	}

	synchronized void remove(String chunk) {
		this.entries.remove(chunk);
	}

	/**
	 * Makes a chunk available again at a later time, after its fetch was refused or
	 * failed. If the source was the weight store, no chunk is fetched from it before that
	 * time.
	 */
	synchronized void retryAt(ChunkFetch fetch, long retryAtNanos) {
		Entry entry = this.entries.get(fetch.chunk());
		if (entry != null) {
			entry.fetching = false;
			entry.retryAtNanos = retryAtNanos;
		}
		if (fetch.source() == null) {
			this.storeRetryAtNanos = retryAtNanos;
		}
	}

	/**
	 * Makes a chunk available again and removes the holder whose fetch failed or that no
	 * longer has the chunk. The weight store is not removed as a source.
	 */
	synchronized void removeFailedSource(ChunkFetch fetch) {
		Entry entry = this.entries.get(fetch.chunk());
		if (entry != null) {
			entry.fetching = false;
			if (fetch.source() != null) {
				entry.holders.remove(fetch.source().vm());
			}
		}
	}

	synchronized void removeHolder(VmRecord holder) {
		this.entries.values().forEach((entry) -> entry.holders.remove(holder.vm()));
	}

	synchronized int size() {
		return this.entries.size();
	}

	/**
	 * One fetch of a chunk.
	 *
	 * @param chunk digest of the chunk
	 * @param manifest digest of its manifest
	 * @param bytes size of the chunk
	 * @param source holder to fetch the chunk from, or null for the weight store
	 */
	record ChunkFetch(String chunk, String manifest, int bytes, @Nullable VmRecord source) {
	}

	private static final class Entry {

		private final String manifestDigest;

		private final int bytes;

		private final Map<String, VmRecord> holders = new HashMap<>();

		private boolean storeAllowed;

		private boolean fetching;

		private long retryAtNanos;

		Entry(String manifestDigest, int bytes, long nowNanos) {
			this.manifestDigest = manifestDigest;
			this.bytes = bytes;
			this.retryAtNanos = nowNanos;
		}

		boolean isFetchable(long nowNanos, boolean storeReady) {
			return !this.fetching && nowNanos - this.retryAtNanos >= 0
					&& (!this.holders.isEmpty() || (this.storeAllowed && storeReady));
		}

	}

}
