package org.jaywood.weights;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * List of the chunk digests of one version of the weights of a model or adapter. It is
 * identified by its own digest, so that the manifest and all of its chunks can be
 * verified against that digest.
 *
 * @param name name of the model or adapter
 * @param version version for display; not used for identification
 * @param chunkBytes size of each chunk but the last
 * @param totalBytes size of all chunks
 * @param chunks SHA-256 of each chunk, in order
 */
public record Manifest(String name, String version, int chunkBytes, long totalBytes, List<String> chunks) {

	/** Largest accepted chunk size. */
	public static final int MAX_CHUNK_BYTES = 4 * 1024 * 1024;

	/** Largest accepted number of chunks. */
	public static final int MAX_CHUNKS = 16_384;

	public Manifest {
		chunks = List.copyOf(chunks);
		boolean sizesFit = chunkBytes > 0 && chunkBytes <= MAX_CHUNK_BYTES && !chunks.isEmpty()
				&& chunks.size() <= MAX_CHUNKS && totalBytes <= (long) chunkBytes * chunks.size()
				&& totalBytes > (long) chunkBytes * (chunks.size() - 1);
		if (!sizesFit) {
			throw new BadInputException(400, "sizes of manifest " + name + " " + version + " do not fit: " + totalBytes
					+ " bytes in " + chunks.size() + " chunks of " + chunkBytes);
		}
	}

	/**
	 * Reads a manifest and verifies it against its digest.
	 * @param bytes canonical JSON
	 * @param digest expected SHA-256
	 * @return the manifest
	 * @throws BadInputException if the digest does not match or the content is malformed
	 */
	public static Manifest verified(byte[] bytes, String digest) {
		if (!Digests.sha256(bytes).equals(digest)) {
			throw new BadInputException(400, "manifest does not match its digest " + digest);
		}
		return Json.read(bytes, Manifest.class);
	}

	public byte[] toBytes() {
		return Json.bytes(this);
	}

	@JsonIgnore
	public String digest() {
		return Digests.sha256(toBytes());
	}

	/**
	 * Returns the size of a chunk in bytes.
	 */
	public int sizeOf(int index) {
		boolean last = index == this.chunks.size() - 1;
		return last ? (int) (this.totalBytes - (long) this.chunkBytes * index) : this.chunkBytes;
	}

}
