package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.BitSet;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;

/**
 * Sends pieces to one peer as they arrive here, and heartbeats while none does. It ends
 * early where the peer does better elsewhere: when no piece comes for a while, and when
 * one takes so long that the link must be narrow.
 */
final class ChunkUploader {

	/** Interval at which a stream of pieces shows that this agent is alive. */
	static final long HEARTBEAT_MILLIS = 400;

	/**
	 * Time of a piece on a link that carries a fraction of the usual. Pieces in turns
	 * with others take a third of it.
	 */
	private static final long SLOW_CHUNK_MILLIS = 600;

	private final ChunkSource source;

	private final UploadPacer pacer;

	private final boolean toOtherRegion;

	private long idleMillis;

	/**
	 * Creates a sender.
	 * @param far whether the peer lies in another region
	 */
	ChunkUploader(ChunkSource source, UploadPacer pacer, boolean far) {
		this.source = source;
		this.pacer = pacer;
		this.toOtherRegion = far;
	}

	/**
	 * Sends pieces until all are sent, or the peer should ask elsewhere.
	 * @param wanted indexes of the pieces; those that were sent are taken out
	 * @param waitMillis longest wait for a piece that is still on its way here
	 * @param open whether this process goes on
	 */
	void send(OutputStream out, BitSet wanted, long waitMillis, BooleanSupplier open)
			throws IOException, InterruptedException {
		long sinceMillis = BootClock.nowMillis();
		boolean slow = false;
		while (!slow && !wanted.isEmpty() && open.getAsBoolean() && BootClock.nowMillis() - sinceMillis < waitMillis) {
			LocalChunks.Chunk piece = this.source.nextChunk(wanted, HEARTBEAT_MILLIS);
			if (piece == null) {
				out.write(ChunkFrames.encodeHeartbeat());
				out.flush();
				continue;
			}
			this.idleMillis += BootClock.nowMillis() - sinceMillis;
			slow = this.pacer.send(out, ChunkFrames.encode(piece), this.toOtherRegion) >= SLOW_CHUNK_MILLIS;
			wanted.clear(piece.index());
			sinceMillis = BootClock.nowMillis();
		}
	}

	/**
	 * Time without a piece to send.
	 */
	long idleMillis() {
		return this.idleMillis;
	}

	/**
	 * Gives pieces of one version.
	 */
	interface ChunkSource {

		/**
		 * The next of some pieces.
		 * @param wanted indexes of the pieces
		 * @param waitMillis longest wait
		 * @return a piece, or null if none of them is here in time
		 */
		LocalChunks.@Nullable Chunk nextChunk(BitSet wanted, long waitMillis) throws InterruptedException;

	}

}
