package org.jaywood.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.LoadedWeights;
import org.jaywood.wire.Digests;

/**
 * Engine that keeps staged chunks and loads them at once.
 */
final class FakeEngine implements EngineControl {

	static final int CHUNKS = 4;

	static final int LAYERS = 16;

	final Map<Integer, byte[]> staged = new ConcurrentHashMap<>();

	final List<String> loadResults = new ArrayList<>();

	volatile long sequence;

	volatile long lastOrderSequence = -1;

	volatile @Nullable LoadedWeights weights = new LoadedWeights("model", 1, 0, LAYERS);

	volatile boolean corruptOrigin;

	/** Error of the next access to a staged chunk. */
	final AtomicReference<@Nullable Error> nextStagingError = new AtomicReference<>();

	/** Error of the next order. */
	final AtomicReference<@Nullable Error> nextOrderError = new AtomicReference<>();

	/**
	 * Returns the correct bytes of a chunk.
	 */
	static byte[] chunk(long version, int index) {
		return ("chunk " + version + " " + index).getBytes(StandardCharsets.UTF_8);
	}

	static String digest(long version, int index) {
		return HexFormat.of().formatHex(Digests.newSha256().digest(chunk(version, index)));
	}

	void restart() {
		this.weights = null;
		this.sequence = 0;
	}

	@Override
	public EngineReport report() {
		return new EngineReport(1, 0, 0, false, this.sequence, this.weights);
	}

	@Override
	public void writeStaged(String model, int index, byte[] chunk) {
		this.staged.put(index, chunk);
	}

	private static void throwOnce(AtomicReference<@Nullable Error> next) {
		Error error = next.getAndSet(null);
		if (error != null) {
			throw error;
		}
	}

	@Override
	public byte @Nullable [] readStaged(String model, int index) {
		throwOnce(this.nextStagingError);
		return this.staged.get(index);
	}

	@Override
	public boolean orderLoad(LoadOrder order, long expectedSequence, long timeoutMillis) {
		long version = order.version().version();
		throwOnce(this.nextOrderError);
		this.lastOrderSequence = expectedSequence;
		if (expectedSequence != this.sequence) {
			return false;
		}
		Map<Integer, String> expectedChunks = new HashMap<>();
		Map<Integer, String> stagedChunks = new HashMap<>();
		for (int index = 0; index < CHUNKS; index++) {
			expectedChunks.put(index, new String(chunk(version, index), StandardCharsets.UTF_8));
			byte[] bytes = this.staged.getOrDefault(index, new byte[0]);
			stagedChunks.put(index, new String(bytes, StandardCharsets.UTF_8));
		}
		this.sequence++;
		this.weights = new LoadedWeights("model", version, 0, LAYERS);
		this.loadResults.add(version + (expectedChunks.equals(stagedChunks) ? " whole" : " corrupt"));
		return true;
	}

}
