package org.jaywood.replica;

import java.io.IOException;

import org.jaywood.wire.Address;

/**
 * Origin of weights, from which the first copy of each version comes.
 */
public interface WeightOrigin {

	/**
	 * Fetches the manifest of a version.
	 * @throws VersionGoneException if the origin has dropped the version for good
	 * @throws IOException if the origin does not answer, or has no such version
	 */
	ChunkManifest fetchManifest(Address origin, String model, long version) throws IOException;

	/**
	 * Fetches one chunk, which may be corrupt.
	 * @throws VersionGoneException if the origin has dropped the version for good
	 * @throws IOException if the chunk does not arrive
	 */
	byte[] fetchChunk(Address origin, ChunkManifest manifest, int index) throws IOException;

	/**
	 * Closes the idle connections to the origin, which supports few connections.
	 */
	void closeIdleConnections(Address origin);

}
