package org.jaywood.replica;

import java.util.BitSet;

import org.jaywood.routing.Upstream;

/**
 * What an agent asks of one other process to complete a copy.
 */
sealed interface ChunkRequest {

	/** Indexes of the pieces. */
	BitSet chunkIndexes();

	/**
	 * Pieces that a peer sends as they arrive there.
	 *
	 * @param peer engine of the agent that is asked
	 * @param chunkIndexes indexes of the pieces
	 * @param waitMillis longest wait for a piece that the peer is to get itself
	 */
	record FromPeer(Upstream peer, BitSet chunkIndexes, long waitMillis) implements ChunkRequest {
	}

	/**
	 * One piece from the origin.
	 *
	 * @param index index of the piece
	 */
	record FromOrigin(int index) implements ChunkRequest {

		@Override
		public BitSet chunkIndexes() {
			BitSet pieces = new BitSet();
			pieces.set(this.index);
			return pieces;
		}

	}

}
