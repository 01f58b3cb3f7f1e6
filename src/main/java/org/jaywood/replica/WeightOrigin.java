package org.jaywood.replica;

import java.io.IOException;

import org.jaywood.wire.Address;

/**
 * Service from which the first copy of weights comes.
 */
public interface WeightOrigin {

	/**
	 * Fetches the list of digests.
	 * @throws IOException if the origin does not answer, or has no such version
	 */
	ChunkManifest fetchManifest(Address origin, String model, long version) throws IOException;

	/**
	 * Fetches one piece, which may be spoilt.
	 */
	byte[] fetchChunk(Address origin, String model, long version, int index) throws IOException;

	/**
	 * Closes the connections that are kept to the origin, which bears few of them.
	 */
	void release(Address origin);

}
