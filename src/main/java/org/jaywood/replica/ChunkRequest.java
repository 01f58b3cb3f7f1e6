package org.jaywood.replica;

import java.util.BitSet;

import org.jaywood.routing.Upstream;

/**
 * A request to one source for chunks of a download.
 */
sealed interface ChunkRequest {

	/** Indexes of the requested chunks. */
	BitSet chunkIndexes();

	/**
	 * Request for chunks that a peer streams as it receives them.
	 *
	 * @param peer engine whose agent is asked
	 * @param chunkIndexes indexes of the requested chunks
	 * @param waitMillis maximum wait for a chunk that the peer has yet to receive
	 */
	record FromPeer(Upstream peer, BitSet chunkIndexes, long waitMillis) implements ChunkRequest {
	}

	/**
	 * Request for one chunk from the origin.
	 *
	 * @param index index of the chunk
	 */
	record FromOrigin(int index) implements ChunkRequest {

		@Override
		public BitSet chunkIndexes() {
			BitSet indexes = new BitSet();
			indexes.set(this.index);
			return indexes;
		}

	}

}
