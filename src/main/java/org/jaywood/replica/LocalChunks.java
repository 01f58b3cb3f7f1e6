package org.jaywood.replica;

import java.util.BitSet;
import java.util.OptionalInt;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.LoadedWeights;
import org.jaywood.routing.ModelVersion;

/**
 * The chunks that an agent can send to peers: those that it has received and verified,
 * and the staged chunks of an engine that serves the requested version. In all other
 * cases the staged chunks belong to another version and would use the link of the
 * receiver for nothing.
 */
final class LocalChunks {

	private final DownloadManager downloads;

	private final EngineControl engine;

	private final EngineMonitor monitor;

	private final EventLog log;

	LocalChunks(DownloadManager downloads, EngineControl engine, EngineMonitor monitor, EventLog log) {
		this.downloads = downloads;
		this.engine = engine;
		this.monitor = monitor;
		this.log = log;
	}

	/**
	 * Returns the manifest of a version.
	 * @param waitMillis maximum wait for a version whose download has not started
	 * @return the manifest, or null if this agent does not have it
	 */
	@Nullable ChunkManifest chunkManifest(ModelVersion version, long waitMillis) throws InterruptedException {
		WeightsDownload download = findDownload(version, waitMillis);
		return (download != null) ? download.chunkManifest() : null;
	}

	/**
	 * Returns the next available chunk of a set.
	 * @param indexes indexes of the wanted chunks
	 * @param waitMillis maximum wait for a chunk that has yet to arrive
	 * @return a chunk, or null if none of them is available in time
	 */
	@Nullable Chunk nextChunk(ModelVersion version, BitSet indexes, long waitMillis) throws InterruptedException {
		if (indexes.isEmpty()) {
			return null;
		}
		WeightsDownload download = findDownload(version, waitMillis);
		if (download != null) {
			OptionalInt index = download.awaitAny(indexes, waitMillis);
			return index.isPresent() ? new Chunk(index.getAsInt(), download.chunkAt(index.getAsInt())) : null;
		}
		int first = indexes.nextSetBit(0);
		boolean servesVersion = isServing(version);
		byte[] staged = servesVersion ? readStaged(version, first) : null;
		if (servesVersion && staged == null) {
			this.downloads.awaitDownload(version, waitMillis);
		}
		return (staged != null) ? new Chunk(first, staged) : null;
	}

	/**
	 * Whether this agent has chunks of a version or is downloading it.
	 */
	boolean hasOrAwaits(ModelVersion version) {
		return isServing(version) || this.downloads.findDownload(version) != null;
	}

	private @Nullable WeightsDownload findDownload(ModelVersion version, long waitMillis) throws InterruptedException {
		return isServing(version) ? this.downloads.findDownload(version)
				: this.downloads.awaitDownload(version, waitMillis);
	}

	private boolean isServing(ModelVersion version) {
		EngineReport report = this.monitor.latestReport();
		LoadedWeights loaded = (report != null) ? report.weights() : null;
		return loaded != null && loaded.version() == version.version();
	}

	/**
	 * Reads a staged chunk without verifying it: the receiver verifies it.
	 */
	private byte @Nullable [] readStaged(ModelVersion version, int index) {
		try {
			return this.engine.readStaged(version.model(), index);
		}
		catch (EngineUnavailableException ex) {
			this.log.log(Event.CHUNK_FETCH_FAILED, "chunk", index, "source", "engine", "error", ex.getMessage());
			return null;
		}
	}

	/**
	 * A chunk of weights.
	 *
	 * @param index index of the chunk
	 * @param bytes content of the chunk
	 */
	record Chunk(int index, byte[] bytes) {
	}

}
