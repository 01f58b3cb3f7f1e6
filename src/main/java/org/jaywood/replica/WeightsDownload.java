package org.jaywood.replica;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Verified pieces of one version of a model, as far as they have arrived. A piece whose
 * digest differs is never taken. Safe for use by several threads.
 */
final class WeightsDownload {

	private final ChunkManifest chunkManifest;

	private final AtomicReferenceArray<byte[]> chunks;

	private final BitSet received = new BitSet();

	WeightsDownload(ChunkManifest list) {
		this.chunkManifest = list;
		this.chunks = new AtomicReferenceArray<>(list.size());
	}

	ChunkManifest chunkManifest() {
		return this.chunkManifest;
	}

	/**
	 * Takes a piece if it is the right one.
	 * @return whether it was
	 */
	boolean addIfValid(int index, byte[] piece) {
		if (!sha256(piece).equalsIgnoreCase(this.chunkManifest.digests().get(index))) {
			return false;
		}
		synchronized (this) {
			this.chunks.set(index, piece);
			this.received.set(index);
			notifyAll();
		}
		return true;
	}

	synchronized boolean has(int index) {
		return this.received.get(index);
	}

	/**
	 * The pieces that have not arrived.
	 */
	synchronized BitSet missing() {
		BitSet missing = new BitSet();
		missing.set(0, this.chunkManifest.size());
		missing.andNot(this.received);
		return missing;
	}

	/**
	 * Waits for one of some pieces.
	 * @param wanted indexes of the pieces
	 * @param millis longest wait
	 * @return the first of them that has arrived, empty if none arrives in time
	 */
	synchronized OptionalInt awaitAny(BitSet wanted, long millis) throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		long leftMillis = millis;
		while (!this.received.intersects(wanted) && leftMillis > 0) {
			wait(leftMillis);
			leftMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
		}
		return wanted.stream().filter(this.received::get).findFirst();
	}

	/**
	 * A piece that has arrived.
	 */
	byte[] chunkAt(int index) {
		return this.chunks.get(index);
	}

	synchronized boolean isComplete() {
		return this.received.cardinality() == this.chunkManifest.size();
	}

	private static String sha256(byte[] piece) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(piece));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
