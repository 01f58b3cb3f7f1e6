package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.BitSet;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.feed.BootClock;

/**
 * Streams chunks to one peer as they arrive at this agent, and heartbeats while none
 * does. The stream ends early when other sources would serve the peer better: when no
 * chunk arrives for a while, and when a chunk takes so long that the link must be slow.
 */
final class ChunkUploader {

	/** Interval of heartbeats while there is no chunk to send. */
	static final long HEARTBEAT_MILLIS = 400;

	/**
	 * Time for one chunk above which a link is taken as slow: a link with a fraction of
	 * the usual speed takes this long. On a usual link, a chunk that shares it with
	 * others takes a third of this time.
	 */
	private static final long SLOW_CHUNK_MILLIS = 600;

	private final ChunkSource source;

	private final UploadPacer pacer;

	private final boolean toOtherRegion;

	private long idleMillis;

	/**
	 * Creates an uploader.
	 * @param toOtherRegion whether the peer is in another region
	 */
	ChunkUploader(ChunkSource source, UploadPacer pacer, boolean toOtherRegion) {
		this.source = source;
		this.pacer = pacer;
		this.toOtherRegion = toOtherRegion;
	}

	/**
	 * Sends chunks until all are sent, or the peer should ask another source.
	 * @param unsent indexes of the chunks; those that were sent are removed
	 * @param waitMillis maximum wait for a chunk that has yet to arrive here
	 * @param isOpen whether this process still sends
	 */
	void send(OutputStream out, BitSet unsent, long waitMillis, BooleanSupplier isOpen)
			throws IOException, InterruptedException {
		long lastSentMillis = BootClock.nowMillis();
		boolean slow = false;
		while (!slow && !unsent.isEmpty() && isOpen.getAsBoolean()
				&& BootClock.nowMillis() - lastSentMillis < waitMillis) {
			LocalChunks.Chunk chunk = this.source.nextChunk(unsent, HEARTBEAT_MILLIS);
			if (chunk == null) {
				out.write(ChunkFrames.encodeHeartbeat());
				out.flush();
				continue;
			}
			this.idleMillis += BootClock.nowMillis() - lastSentMillis;
			slow = this.pacer.send(out, ChunkFrames.encode(chunk), this.toOtherRegion) >= SLOW_CHUNK_MILLIS;
			unsent.clear(chunk.index());
			lastSentMillis = BootClock.nowMillis();
		}
	}

	/**
	 * Returns the time without a chunk to send, in milliseconds.
	 */
	long idleMillis() {
		return this.idleMillis;
	}

	/**
	 * Source of the chunks of one version.
	 */
	interface ChunkSource {

		/**
		 * Returns the next available chunk of a set.
		 * @param indexes indexes of the wanted chunks
		 * @param waitMillis maximum wait
		 * @return a chunk, or null if none of them is available in time
		 */
		LocalChunks.@Nullable Chunk nextChunk(BitSet indexes, long waitMillis) throws InterruptedException;

	}

}
