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
 * The chunks that this VM still needs, and who offered them. It hands out each chunk to
 * one download at a time. Its size is bounded by the manifests and by
 * {@value #MAX_HOLDERS} holders for each chunk.
 */
final class WantedChunks {

	private static final int MAX_HOLDERS = 4;

	private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private final VmRecord self;

	private final WeightMode mode;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private long storeNotBeforeNanos;

	WantedChunks(VmRecord self, WeightMode mode, long nowNanos) {
		this.self = self;
		this.mode = mode;
		this.storeNotBeforeNanos = nowNanos;
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
	 * Notes that a VM holds a chunk; ignored if the chunk is not needed.
	 */
	synchronized void offer(String chunk, VmRecord holder) {
		Entry entry = this.entries.get(chunk);
		if (entry != null && entry.holders.size() < MAX_HOLDERS) {
			entry.holders.put(holder.vm(), holder);
			notifyAll();
		}
	}

	/**
	 * Allows to fetch a chunk from the store.
	 */
	synchronized void allowStore(String chunk, boolean allowed) {
		Entry entry = this.entries.get(chunk);
		if (entry != null) {
			entry.storeAllowed = allowed;
			notifyAll();
		}
	}

	/**
	 * Missing chunks without an offer and without a running download.
	 */
	synchronized Map<String, String> withoutHolder() {
		Map<String, String> found = new HashMap<>();
		this.entries.forEach((chunk, entry) -> {
			if (entry.holders.isEmpty() && !entry.running) {
				found.put(chunk, entry.manifest);
			}
		});
		return found;
	}

	synchronized boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Waits for a chunk that can be fetched now.
	 */
	synchronized Optional<ChunkFetch> take(long waitMillis) throws InterruptedException {
		Optional<ChunkFetch> found = find(System.nanoTime());
		if (found.isEmpty()) {
			TimeUnit.NANOSECONDS.timedWait(this, waitNanos(waitMillis, System.nanoTime()));
			found = find(System.nanoTime());
		}
		return found;
	}

	/**
	 * Time until a refused chunk may be asked for again, at most the given wait. A
	 * download slot that slept longer would leave the link idle.
	 */
	private long waitNanos(long waitMillis, long nowNanos) {
		return this.entries.values()
			.stream()
			.filter((entry) -> !entry.running && !entry.holders.isEmpty())
			.mapToLong((entry) -> Math.max(MIN_WAIT_NANOS, entry.notBeforeNanos - nowNanos))
			.reduce(TimeUnit.MILLISECONDS.toNanos(waitMillis), Math::min);
	}

	/**
	 * Chooses at random, so that VMs of a data centre do not all ask for the same chunks.
	 */
	private Optional<ChunkFetch> find(long nowNanos) {
		boolean storeReady = nowNanos - this.storeNotBeforeNanos >= 0;
		List<Map.Entry<String, Entry>> ready = new ArrayList<>(this.entries.entrySet()
			.stream()
			.filter((item) -> item.getValue().ready(nowNanos, storeReady))
			.toList());
		if (ready.isEmpty()) {
			return Optional.empty();
		}
		Map.Entry<String, Entry> chosen = ready
			.get((this.mode == WeightMode.PLAIN) ? 0 : ThreadLocalRandom.current().nextInt(ready.size()));
		Entry entry = chosen.getValue();
		entry.running = true;
		return Optional.of(new ChunkFetch(chosen.getKey(), entry.manifest, entry.bytes, nearest(entry)));
	}

	private @Nullable VmRecord nearest(Entry entry) {
		List<VmRecord> holders = new ArrayList<>(entry.holders.values());
		Collections.shuffle(holders);
		return holders.stream()
			.min(Comparator.comparing((VmRecord vm) -> Distance.between(this.self, vm)))
			.orElse(null);
	}

	synchronized void done(String chunk) {
		this.entries.remove(chunk);
	}

	/**
	 * Returns a chunk whose download was refused.
	 */
	synchronized void retry(ChunkFetch download, long notBeforeNanos) {
		Entry entry = this.entries.get(download.chunk());
		if (entry != null) {
			entry.running = false;
			entry.notBeforeNanos = notBeforeNanos;
		}
		if (download.source() == null) {
			this.storeNotBeforeNanos = notBeforeNanos;
		}
	}

	/**
	 * Returns a chunk whose holder failed or does not hold it any more.
	 */
	synchronized void failed(ChunkFetch download) {
		Entry entry = this.entries.get(download.chunk());
		if (entry != null) {
			entry.running = false;
			if (download.source() != null) {
				entry.holders.remove(download.source().vm());
			}
		}
	}

	synchronized void forget(VmRecord holder) {
		this.entries.values().forEach((entry) -> entry.holders.remove(holder.vm()));
	}

	synchronized int size() {
		return this.entries.size();
	}

	/**
	 * A chunk to fetch.
	 *
	 * @param chunk digest of the chunk
	 * @param manifest digest of its manifest
	 * @param bytes its size
	 * @param source holder to fetch it from, or null for the store
	 */
	record ChunkFetch(String chunk, String manifest, int bytes, @Nullable VmRecord source) {
	}

	private static final class Entry {

		private final String manifest;

		private final int bytes;

		private final Map<String, VmRecord> holders = new HashMap<>();

		private boolean storeAllowed;

		private boolean running;

		private long notBeforeNanos;

		Entry(String manifest, int bytes, long nowNanos) {
			this.manifest = manifest;
			this.bytes = bytes;
			this.notBeforeNanos = nowNanos;
		}

		boolean ready(long nowNanos, boolean storeReady) {
			return !this.running && nowNanos - this.notBeforeNanos >= 0
					&& (!this.holders.isEmpty() || (this.storeAllowed && storeReady));
		}

	}

}
