package org.jaywood.replica;

import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.ModelVersion;

/**
 * Stages the weights of a download at the engine and orders it to load them. An engine
 * takes the staged chunks as they are when it accepts the order, and they may turn bad at
 * any time. So an order is sent only while each comparison of a staged chunk is young,
 * however the time since has passed: by slow reads, a suspension of the VM or an order
 * that had no response, and only to the incarnation of the engine that was asked. Else
 * the chunks are compared again. An engine that reads too slowly for the whole model
 * loads it in several orders, a few layers each.
 */
final class WeightsLoader {

	/**
	 * Longest time for which a chunk may have been bad when the engine takes it (rule
	 * WHOLE of the platform).
	 */
	static final long MAX_BAD_MILLIS = 3_000;

	/** Age of the oldest comparison up to which an order may be sent. */
	static final long MAX_AGE_AT_ORDER_MILLIS = 1_000;

	/**
	 * The same for an order of a single layer, which cannot be made smaller for an engine
	 * that responds slowly. With the time for the response it stays below
	 * {@link #MAX_BAD_MILLIS}.
	 */
	static final long MAX_AGE_AT_SMALLEST_ORDER_MILLIS = 1_800;

	/**
	 * Time for the response to an order. With the age of the comparisons and another
	 * comparison of all chunks it stays below {@link #MAX_BAD_MILLIS}, since an engine
	 * may accept an order after its response is no longer awaited.
	 */
	static final long ORDER_TIMEOUT_MILLIS = 800;

	private final EngineControl engine;

	private final StagingVerifier verifier;

	private final LongSupplier bootClockMillis;

	private final EventLog log;

	private final OrderSize orderSize = new OrderSize();

	/** Last order that had no response, until it is known whether it was accepted. */
	private @Nullable UnansweredOrder unansweredOrder;

	/**
	 * Creates a loader.
	 * @param bootClockMillis clock that goes on while the VM is suspended
	 */
	WeightsLoader(EngineControl engine, LongSupplier bootClockMillis, EventLog log) {
		this.engine = engine;
		this.verifier = new StagingVerifier(engine, bootClockMillis);
		this.bootClockMillis = bootClockMillis;
		this.log = log;
	}

	/**
	 * Stages a complete download and orders the engine to load it, or its next layers,
	 * unless it loads or serves it already, or the comparisons have become too old
	 * meanwhile. While the engine may still accept an earlier order that had no response,
	 * that order is repeated instead: staging another version would spoil it.
	 * @param modelLayers number of layers of the model, 0 if it is not known
	 * @return whether the engine accepted an order
	 * @throws EngineUnavailableException if the engine did not respond in time; it may
	 * have accepted an order all the same
	 */
	boolean load(WeightsDownload target, int modelLayers) throws EngineUnavailableException, InterruptedException {
		EngineReport before = this.engine.report();
		WeightsDownload download = downloadToLoad(target, before);
		LoadOrder order = LoadOrder.next(download.chunkManifest().modelVersion(), before.weights(), modelLayers,
				this.orderSize.maxLayers());
		StagingVerifier.Verification verification = stage(download, order);
		EngineReport report = this.engine.report();
		if (!isUnchanged(before, report) || report.serves(order.version(), modelLayers)
				|| isTooOld(order, verification)) {
			return false;
		}
		boolean accepted = sendOrder(order, download, report);
		onAnswered(order, report.sequence(), accepted, ageMillis(verification));
		return accepted;
	}

	/**
	 * Returns the target, or the download of an order that the engine may still accept.
	 */
	private WeightsDownload downloadToLoad(WeightsDownload target, EngineReport report) {
		UnansweredOrder order = this.unansweredOrder;
		if (order == null || !order.mayBeAccepted(report, this.bootClockMillis.getAsLong())) {
			this.unansweredOrder = null;
			return target;
		}
		return order.download();
	}

	private StagingVerifier.Verification stage(WeightsDownload download, LoadOrder order)
			throws EngineUnavailableException, InterruptedException {
		int chunks = download.chunkManifest().size();
		StagingVerifier.Verification verification = this.verifier.verify(download, order.firstChunk(chunks),
				order.endChunk(chunks));
		this.log.log(Event.PIECES_STAGED, "count", verification.replacedCount(), "model", order.version().model(),
				"version", order.version().version(), "millis", verification.passMillis(), "connections",
				verification.connections(), "layers", order.heldLayers() + "-" + order.toLayer());
		return verification;
	}

	/**
	 * Whether the engine is the same incarnation as before the comparisons, and has
	 * accepted no order since.
	 */
	private boolean isUnchanged(EngineReport before, EngineReport report) {
		if (report.bornMillis() != before.bornMillis()) {
			this.log.log(Event.ENGINE_RESTARTED, "born", report.bornMillis(), "previous", before.bornMillis());
			return false;
		}
		return report.sequence() == before.sequence() && !report.orderInProgress();
	}

	/**
	 * Whether the comparisons are too old for the order. The next one may be smaller
	 * then.
	 */
	private boolean isTooOld(LoadOrder order, StagingVerifier.Verification verification) {
		long ageMillis = ageMillis(verification);
		if (ageMillis <= maxAgeMillis(order)) {
			return false;
		}
		this.orderSize.onTooSlow(order, verification);
		this.log.log(Event.LOAD_POSTPONED, "model", order.version().model(), "version", order.version().version(),
				"ageMillis", ageMillis, "limitMillis", maxAgeMillis(order), "passMillis", verification.passMillis(),
				"layersPerOrder", Math.min(this.orderSize.maxLayers(), order.modelLayers()));
		return true;
	}

	private static long maxAgeMillis(LoadOrder order) {
		return (order.layers() == 1) ? MAX_AGE_AT_SMALLEST_ORDER_MILLIS : MAX_AGE_AT_ORDER_MILLIS;
	}

	private long ageMillis(StagingVerifier.Verification verification) {
		return this.bootClockMillis.getAsLong() - verification.oldestMillis();
	}

	/**
	 * Sends an order. One that is refused says nothing of an earlier one without a
	 * response; one that is accepted has the engine refuse that.
	 */
	private boolean sendOrder(LoadOrder order, WeightsDownload download, EngineReport report)
			throws EngineUnavailableException {
		UnansweredOrder earlierOrder = this.unansweredOrder;
		this.unansweredOrder = new UnansweredOrder(download, report.bornMillis(), report.sequence(),
				this.bootClockMillis.getAsLong());
		boolean accepted = this.engine.orderLoad(order, report.sequence(), ORDER_TIMEOUT_MILLIS);
		this.unansweredOrder = accepted ? null : earlierOrder;
		return accepted;
	}

	private void onAnswered(LoadOrder order, long sequence, boolean accepted, long ageMillis) {
		this.orderSize.onAnswered(order);
		ModelVersion version = order.version();
		if (!accepted) {
			this.log.log(Event.ORDER_FAILED, "order", "load " + version, "error", "refused at sequence " + sequence);
			return;
		}
		this.log.log(Event.ORDER_ACCEPTED, "model", version.model(), "version", version.version(), "sequence", sequence,
				"ageMillis", ageMillis);
		if (ageMillis > MAX_BAD_MILLIS) {
			this.log.log(Event.LOAD_DOUBTFUL, "model", version.model(), "version", version.version(), "ageMillis",
					ageMillis);
		}
	}

	/**
	 * Order whose response is not known.
	 *
	 * @param download what it is to load
	 * @param bornMillis start time of the engine that it was sent to
	 * @param sequence number of orders that the engine had accepted
	 * @param sentMillis time at which it was sent, by the boot clock
	 */
	private record UnansweredOrder(WeightsDownload download, long bornMillis, long sequence, long sentMillis) {

		/** Time after which an order without a response counts as lost. */
		private static final long MAX_WAIT_MILLIS = 15_000;

		/**
		 * Whether an engine in this state may still accept the order.
		 */
		boolean mayBeAccepted(EngineReport report, long nowMillis) {
			return report.bornMillis() == this.bornMillis && report.sequence() == this.sequence
					&& nowMillis - this.sentMillis < MAX_WAIT_MILLIS;
		}

	}

}
