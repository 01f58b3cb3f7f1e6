package org.jaywood.replica;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LoadedWeights;

/**
 * Engine whose staged chunks turn bad at a time of a clock that the test sets. It records
 * for each load how long the bad chunks had been bad.
 */
final class AgeingEngine implements EngineControl {

	static final int CHUNKS = 4;

	static final int LAYERS = 16;

	/** Bound of the rule WHOLE. */
	private static final long MAX_BAD_MILLIS = 3_000;

	/** Time since a chunk was good, for one that never was. */
	static final long NEVER_GOOD = Long.MAX_VALUE;

	private final AtomicLong clockMillis;

	private final Map<Integer, byte[]> staged = new HashMap<>();

	private final Map<Integer, Long> badSinceMillis = new HashMap<>();

	private final List<Load> loads = new ArrayList<>();

	private IntConsumer beforeRead = (index) -> {
	};

	private Runnable beforeReport = () -> {
	};

	private OrderBehaviour orderBehaviour = (accept) -> accept.run();

	private long bornMillis = 1;

	private long sequence;

	private @Nullable LoadedWeights weights = new LoadedWeights("model", 1, 0, LAYERS);

	AgeingEngine(AtomicLong clockMillis) {
		this.clockMillis = clockMillis;
	}

	/**
	 * Sets what happens before each read of a staged chunk.
	 */
	void beforeRead(IntConsumer action) {
		this.beforeRead = action;
	}

	/**
	 * Sets what happens before each report.
	 */
	void beforeReport(Runnable action) {
		this.beforeReport = action;
	}

	/**
	 * Sets what happens when an order arrives.
	 */
	void onOrder(OrderBehaviour behaviour) {
		this.orderBehaviour = behaviour;
	}

	synchronized void spoil(int index) {
		byte[] chunk = this.staged.get(index);
		if (chunk != null && !this.badSinceMillis.containsKey(index)) {
			byte[] bad = chunk.clone();
			bad[0] ^= 1;
			this.staged.put(index, bad);
			this.badSinceMillis.put(index, this.clockMillis.get());
		}
	}

	/**
	 * Starts again without weights and without staged chunks, as after a loss of power.
	 */
	synchronized void restartWithoutStagedChunks() {
		this.bornMillis++;
		this.sequence = 0;
		this.weights = null;
		this.staged.clear();
		this.badSinceMillis.clear();
	}

	synchronized List<Load> loads() {
		return List.copyOf(this.loads);
	}

	@Override
	public EngineReport report() {
		this.beforeReport.run();
		synchronized (this) {
			return new EngineReport(this.bornMillis, 0, 0, false, this.sequence, this.weights);
		}
	}

	@Override
	public synchronized void writeStaged(String model, int index, byte[] chunk) {
		this.staged.put(index, chunk);
		this.badSinceMillis.remove(index);
	}

	@Override
	public byte @Nullable [] readStaged(String model, int index) {
		this.beforeRead.accept(index);
		synchronized (this) {
			return this.staged.get(index);
		}
	}

	@Override
	public boolean orderLoad(LoadOrder order, long expectedSequence, long timeoutMillis)
			throws EngineUnavailableException {
		return this.orderBehaviour.accept(() -> accept(order, expectedSequence));
	}

	private synchronized boolean accept(LoadOrder order, long expectedSequence) {
		long version = order.version().version();
		if (expectedSequence != this.sequence) {
			return false;
		}
		Map<Integer, Long> badMillis = new TreeMap<>();
		for (int index = order.firstChunk(CHUNKS); index < order.endChunk(CHUNKS); index++) {
			if (!Arrays.equals(this.staged.get(index), FakeEngine.chunk(version, index))) {
				Long sinceMillis = this.badSinceMillis.get(index);
				badMillis.put(index, (sinceMillis != null) ? this.clockMillis.get() - sinceMillis : NEVER_GOOD);
			}
		}
		this.sequence++;
		this.weights = new LoadedWeights("model", version, 0, order.toLayer());
		this.loads.add(new Load(version, badMillis));
		return true;
	}

	/**
	 * What an engine does with an order.
	 */
	interface OrderBehaviour {

		/**
		 * Answers an order.
		 * @param acceptance accepts the order if its sequence fits
		 */
		boolean accept(Acceptance acceptance) throws EngineUnavailableException;

	}

	/**
	 * Acceptance of an order, at any time.
	 */
	interface Acceptance {

		boolean run();

	}

	/**
	 * What the engine took with one order.
	 *
	 * @param version ordered version
	 * @param badMillis for each bad chunk the time since it turned bad
	 */
	record Load(long version, Map<Integer, Long> badMillis) {

		/**
		 * Whether the rule WHOLE allows the load.
		 */
		boolean allowed() {
			return this.badMillis.values().stream().allMatch((millis) -> millis <= MAX_BAD_MILLIS);
		}

	}

}
