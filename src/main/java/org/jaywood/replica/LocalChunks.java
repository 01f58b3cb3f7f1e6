package org.jaywood.replica;

import java.util.BitSet;
import java.util.OptionalInt;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;

/**
 * The pieces that an agent can pass on: those that it has fetched and verified, and those
 * that lie beside an engine which serves the very version that is asked for. What lies
 * there otherwise belongs to another version, and would cost the link of the receiver for
 * nothing.
 */
final class LocalChunks {

	private final DownloadManager downloads;

	private final EngineControl engine;

	private final EngineMonitor monitor;

	private final EventLog log;

	LocalChunks(DownloadManager copies, EngineControl engine, EngineMonitor monitor, EventLog log) {
		this.downloads = copies;
		this.engine = engine;
		this.monitor = monitor;
		this.log = log;
	}

	/**
	 * The list of digests of a version.
	 * @param waitMillis longest wait for a version that is not being fetched yet
	 * @return the list, or null if it is not here
	 */
	@Nullable ChunkManifest chunkManifest(ModelVersion weights, long waitMillis) throws InterruptedException {
		WeightsDownload copy = findDownload(weights, waitMillis);
		return (copy != null) ? copy.chunkManifest() : null;
	}

	/**
	 * The next of some pieces of a version.
	 * @param wanted indexes of the pieces
	 * @param waitMillis longest wait for a piece that is still on its way
	 * @return a piece, or null if none of them is here in time
	 */
	@Nullable Chunk nextChunk(ModelVersion weights, BitSet wanted, long waitMillis) throws InterruptedException {
		if (wanted.isEmpty()) {
			return null;
		}
		WeightsDownload copy = findDownload(weights, waitMillis);
		if (copy != null) {
			OptionalInt index = copy.awaitAny(wanted, waitMillis);
			return index.isPresent() ? new Chunk(index.getAsInt(), copy.chunkAt(index.getAsInt())) : null;
		}
		int first = wanted.nextSetBit(0);
		boolean serving = isServing(weights);
		byte[] staged = serving ? readStaged(weights, first) : null;
		if (serving && staged == null) {
			this.downloads.awaitDownload(weights, waitMillis);
		}
		return (staged != null) ? new Chunk(first, staged) : null;
	}

	/**
	 * Whether this agent has pieces of a version or is about to get them.
	 */
	boolean hasOrAwaits(ModelVersion weights) {
		return isServing(weights) || this.downloads.download(weights) != null;
	}

	private @Nullable WeightsDownload findDownload(ModelVersion weights, long waitMillis) throws InterruptedException {
		return isServing(weights) ? this.downloads.download(weights)
				: this.downloads.awaitDownload(weights, waitMillis);
	}

	private boolean isServing(ModelVersion weights) {
		EngineReport report = this.monitor.latestReport();
		LoadedWeights loaded = (report != null) ? report.weights() : null;
		return loaded != null && loaded.version() == weights.version();
	}

	/**
	 * Reads a piece beside the engine. It is not verified here: the receiver does so.
	 */
	private byte @Nullable [] readStaged(ModelVersion weights, int index) {
		try {
			return this.engine.staged(weights.model(), index);
		}
		catch (EngineUnavailableException ex) {
			this.log.log(Event.CHUNK_FETCH_FAILED, "chunk", index, "source", "engine", "error", ex.getMessage());
			return null;
		}
	}

	/**
	 * A piece of weights.
	 *
	 * @param index number of the piece
	 * @param bytes its content
	 */
	record Chunk(int index, byte[] bytes) {
	}

}
