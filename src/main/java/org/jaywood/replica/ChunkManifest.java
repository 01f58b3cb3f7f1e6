package org.jaywood.replica;

import java.util.List;

import org.jaywood.routing.ModelVersion;

/**
 * Digests of the chunks of one version of a model.
 *
 * @param model name of the model
 * @param version number of the version
 * @param chunkBytes size of each chunk, 0 if the source does not state it
 * @param digests SHA-256 of each chunk in hexadecimal
 */
public record ChunkManifest(String model, long version, int chunkBytes, List<String> digests) {

	/** Largest chunk of any manifest. */
	public static final int MAX_CHUNK_BYTES = 4 * 1024 * 1024;

	/**
	 * Returns the size of the largest chunk that may be received.
	 */
	public int maxChunkBytes() {
		return (this.chunkBytes > 0) ? Math.min(this.chunkBytes, MAX_CHUNK_BYTES) : MAX_CHUNK_BYTES;
	}

	/**
	 * Returns the version whose chunks are listed.
	 */
	ModelVersion modelVersion() {
		return new ModelVersion(this.model, this.version);
	}

	public int size() {
		return this.digests.size();
	}

}
