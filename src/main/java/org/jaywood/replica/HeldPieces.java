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
final class HeldPieces {

	private final CopyKeeper copies;

	private final EngineControl engine;

	private final EngineMonitor monitor;

	private final EventLog log;

	HeldPieces(CopyKeeper copies, EngineControl engine, EngineMonitor monitor, EventLog log) {
		this.copies = copies;
		this.engine = engine;
		this.monitor = monitor;
		this.log = log;
	}

	/**
	 * The list of digests of a version.
	 * @param waitMillis longest wait for a version that is not being fetched yet
	 * @return the list, or null if it is not here
	 */
	@Nullable ChunkManifest list(ModelVersion weights, long waitMillis) throws InterruptedException {
		WeightCopy copy = copy(weights, waitMillis);
		return (copy != null) ? copy.list() : null;
	}

	/**
	 * The next of some pieces of a version.
	 * @param wanted indexes of the pieces
	 * @param waitMillis longest wait for a piece that is still on its way
	 * @return a piece, or null if none of them is here in time
	 */
	@Nullable Piece next(ModelVersion weights, BitSet wanted, long waitMillis) throws InterruptedException {
		if (wanted.isEmpty()) {
			return null;
		}
		WeightCopy copy = copy(weights, waitMillis);
		if (copy != null) {
			OptionalInt index = copy.awaitAny(wanted, waitMillis);
			return index.isPresent() ? new Piece(index.getAsInt(), copy.piece(index.getAsInt())) : null;
		}
		int first = wanted.nextSetBit(0);
		boolean serving = serving(weights);
		byte[] staged = serving ? staged(weights, first) : null;
		if (serving && staged == null) {
			this.copies.awaitCopy(weights, waitMillis);
		}
		return (staged != null) ? new Piece(first, staged) : null;
	}

	/**
	 * Whether this agent has pieces of a version or is about to get them.
	 */
	boolean expects(ModelVersion weights) {
		return serving(weights) || this.copies.copy(weights) != null;
	}

	private @Nullable WeightCopy copy(ModelVersion weights, long waitMillis) throws InterruptedException {
		return serving(weights) ? this.copies.copy(weights) : this.copies.awaitCopy(weights, waitMillis);
	}

	private boolean serving(ModelVersion weights) {
		EngineReport report = this.monitor.latest();
		LoadedWeights loaded = (report != null) ? report.weights() : null;
		return loaded != null && loaded.version() == weights.version();
	}

	/**
	 * Reads a piece beside the engine. It is not verified here: the receiver does so.
	 */
	private byte @Nullable [] staged(ModelVersion weights, int index) {
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
	record Piece(int index, byte[] bytes) {
	}

}
