package org.jaywood.weights;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jaywood.wire.Digests;

/**
 * Agent staging area: keeps verified manifests and chunks in the memory of the agent, up
 * to a bound. Content is verified against its digest before it is stored, so all content
 * read from it is correct. Only chunks of the retained manifests are kept.
 */
public final class StagingArea {

	private final long limitBytes;

	private final Map<String, Manifest> manifests = new LinkedHashMap<>();

	private final Map<String, byte[]> chunks = new LinkedHashMap<>();

	private long usedBytes;

	public StagingArea(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Drops all content that belongs to none of the given manifests.
	 * @param digests digests of the manifests to keep
	 */
	public synchronized void retain(Collection<String> digests) {
		this.manifests.keySet().retainAll(Set.copyOf(digests));
		Set<String> kept = this.manifests.values()
			.stream()
			.flatMap((manifest) -> manifest.chunks().stream())
			.collect(Collectors.toSet());
		this.chunks.keySet().retainAll(kept);
		this.usedBytes = this.chunks.values().stream().mapToLong((chunk) -> chunk.length).sum();
	}

	/**
	 * Stores a manifest.
	 * @return the manifest
	 * @throws org.jaywood.wire.BadInputException if it does not match its digest
	 */
	public Manifest putManifest(String digest, byte[] content) {
		Manifest manifest = Manifest.verified(content, digest);
		synchronized (this) {
			this.manifests.put(digest, manifest);
		}
		return manifest;
	}

	/**
	 * Stores a chunk if it matches its digest.
	 * @return whether it matches
	 * @throws WeightException if the staging area is full
	 */
	public boolean putChunk(String digest, byte[] content) {
		if (!Digests.sha256(content).equals(digest)) {
			return false;
		}
		synchronized (this) {
			if (this.chunks.containsKey(digest)) {
				return true;
			}
			if (this.usedBytes + content.length > this.limitBytes) {
				throw new WeightException("staging area of " + this.limitBytes + " bytes is full");
			}
			this.chunks.put(digest, content);
			this.usedBytes += content.length;
		}
		return true;
	}

	public synchronized Optional<Manifest> manifest(String digest) {
		return Optional.ofNullable(this.manifests.get(digest));
	}

	/**
	 * Returns all retained manifests by digest.
	 */
	public synchronized Map<String, Manifest> manifests() {
		return Map.copyOf(this.manifests);
	}

	public synchronized Optional<byte[]> chunk(String digest) {
		return Optional.ofNullable(this.chunks.get(digest));
	}

	public synchronized boolean containsChunk(String chunk) {
		return this.chunks.containsKey(chunk);
	}

	/**
	 * Whether all given manifests and all of their chunks are stored.
	 */
	public synchronized boolean hasAllChunks(Collection<String> digests) {
		return digests.stream()
			.allMatch((digest) -> this.manifests.containsKey(digest)
					&& this.chunks.keySet().containsAll(this.manifests.get(digest).chunks()));
	}

	/**
	 * Returns the total bytes of the given manifests, without those that are not stored.
	 */
	public synchronized long bytesOf(Collection<String> digests) {
		return digests.stream()
			.flatMap((digest) -> Stream.ofNullable(this.manifests.get(digest)))
			.mapToLong(Manifest::totalBytes)
			.sum();
	}

	public synchronized long usedBytes() {
		return this.usedBytes;
	}

	public long limitBytes() {
		return this.limitBytes;
	}

}
