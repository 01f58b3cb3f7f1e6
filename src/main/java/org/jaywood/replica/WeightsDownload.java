package org.jaywood.replica;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The chunks of one version of a model received so far, each verified by its digest. A
 * chunk whose digest differs is not added. Thread-safe.
 */
final class WeightsDownload {

	private final ChunkManifest chunkManifest;

	private final AtomicReferenceArray<byte[]> chunks;

	private final BitSet received = new BitSet();

	WeightsDownload(ChunkManifest manifest) {
		this.chunkManifest = manifest;
		this.chunks = new AtomicReferenceArray<>(manifest.size());
	}

	ChunkManifest chunkManifest() {
		return this.chunkManifest;
	}

	/**
	 * Adds a chunk if its digest matches.
	 * @return whether it matched
	 */
	boolean addIfValid(int index, byte[] chunk) {
		if (!sha256(chunk).equalsIgnoreCase(this.chunkManifest.digests().get(index))) {
			return false;
		}
		synchronized (this) {
			this.chunks.set(index, chunk);
			this.received.set(index);
			notifyAll();
		}
		return true;
	}

	synchronized boolean has(int index) {
		return this.received.get(index);
	}

	/**
	 * Returns the indexes of the chunks that have not been received.
	 */
	synchronized BitSet missing() {
		BitSet missing = new BitSet();
		missing.set(0, this.chunkManifest.size());
		missing.andNot(this.received);
		return missing;
	}

	/**
	 * Waits for any chunk of a set.
	 * @param indexes indexes of the wanted chunks
	 * @param waitMillis maximum wait
	 * @return the lowest index that has been received, empty if none is received in time
	 */
	synchronized OptionalInt awaitAny(BitSet indexes, long waitMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		long remainingMillis = waitMillis;
		while (!this.received.intersects(indexes) && remainingMillis > 0) {
			wait(remainingMillis);
			remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
		}
		return indexes.stream().filter(this.received::get).findFirst();
	}

	/**
	 * Returns a chunk that has been received.
	 */
	byte[] chunkAt(int index) {
		return this.chunks.get(index);
	}

	synchronized boolean isComplete() {
		return this.received.cardinality() == this.chunkManifest.size();
	}

	private static String sha256(byte[] chunk) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(chunk));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
