package org.jaywood.replica;

import java.util.BitSet;

import org.jaywood.routing.Upstream;

/**
 * What an agent asks of one other process to complete a copy.
 */
sealed interface PieceRequest {

	/** Indexes of the pieces. */
	BitSet pieces();

	/**
	 * Pieces that a peer sends as they arrive there.
	 *
	 * @param peer engine of the agent that is asked
	 * @param pieces indexes of the pieces
	 * @param waitMillis longest wait for a piece that the peer is to get itself
	 */
	record FromPeer(Upstream peer, BitSet pieces, long waitMillis) implements PieceRequest {
	}

	/**
	 * One piece from the origin.
	 *
	 * @param index index of the piece
	 */
	record FromOrigin(int index) implements PieceRequest {

		@Override
		public BitSet pieces() {
			BitSet pieces = new BitSet();
			pieces.set(this.index);
			return pieces;
		}

	}

}
