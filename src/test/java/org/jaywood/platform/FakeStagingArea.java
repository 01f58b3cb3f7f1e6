package org.jaywood.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.IntStream;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Exchange;

/**
 * Staging area of a {@link FakePlatformEngine}, and the weights that an origin has.
 * Staged chunks can turn bad, and the area knows since when.
 */
final class FakeStagingArea {

	static final int MAX_BODY_BYTES = 1 << 20;

	/** Age of a chunk that never was a good one of the loaded version. */
	static final long NEVER_GOOD = Long.MAX_VALUE;

	private final int chunkCount;

	private final int chunkBytes;

	private final Map<Integer, byte[]> staged = new HashMap<>();

	private final Map<Integer, Long> badSinceNanos = new HashMap<>();

	private final ReentrantLock serialAccess = new ReentrantLock(true);

	private volatile long accessMillis;

	private volatile boolean serial;

	private volatile int accesses;

	FakeStagingArea(int chunkCount, int chunkBytes) {
		this.chunkCount = chunkCount;
		this.chunkBytes = chunkBytes;
	}

	/**
	 * Makes each read and write of a staged chunk take a time.
	 * @param serial whether they also take place one after the other
	 */
	void setAccessMillis(long millis, boolean serial) {
		this.accessMillis = millis;
		this.serial = serial;
	}

	/**
	 * Returns the number of reads and writes so far.
	 */
	int accesses() {
		return this.accesses;
	}

	/**
	 * Has staged chunks turn bad; what is not staged stays missing.
	 */
	synchronized void spoil(List<Integer> indexes) {
		for (int index : indexes) {
			byte[] chunk = this.staged.get(index);
			if (chunk != null && !this.badSinceNanos.containsKey(index)) {
				byte[] bad = chunk.clone();
				bad[0] ^= 0x55;
				this.staged.put(index, bad);
				this.badSinceNanos.put(index, System.nanoTime());
			}
		}
	}

	/**
	 * Stages a chunk.
	 */
	synchronized void stage(int index, byte[] chunk) {
		this.staged.put(index, chunk);
		this.badSinceNanos.remove(index);
	}

	/**
	 * Stages all chunks of a version.
	 */
	synchronized void stageAll(long version) {
		IntStream.range(0, this.chunkCount).forEach((index) -> stage(index, bytes(version, index)));
	}

	void write(Exchange exchange) throws IOException {
		byte[] chunk = exchange.readBody(MAX_BODY_BYTES);
		int index = index(exchange);
		awaitAccess();
		stage(index, chunk);
		exchange.respondJson(200, Map.of());
	}

	void read(Exchange exchange) throws IOException {
		int index = index(exchange);
		awaitAccess();
		byte[] chunk;
		synchronized (this) {
			chunk = this.staged.get(index);
		}
		if (chunk == null) {
			exchange.respondError(404, "not here");
		}
		else {
			exchange.respond(200, "application/octet-stream", chunk);
		}
	}

	private void awaitAccess() {
		boolean oneAtATime = this.serial;
		if (oneAtATime) {
			this.serialAccess.lock();
		}
		try {
			synchronized (this) {
				this.accesses++;
			}
			TimeUnit.MILLISECONDS.sleep(this.accessMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			if (oneAtATime) {
				this.serialAccess.unlock();
			}
		}
	}

	void sendManifest(Exchange exchange) throws IOException {
		long version = exchange.queryLong("Version", 1);
		List<String> digests = IntStream.range(0, this.chunkCount).mapToObj((index) -> digest(version, index)).toList();
		exchange.respondJson(200, Map.of("Model", FakePlatformEngine.MODEL, "Version", version, "Digests", digests));
	}

	void sendChunk(Exchange exchange) throws IOException {
		exchange.respond(200, "application/octet-stream", bytes(exchange.queryLong("Version", 1), index(exchange)));
	}

	/**
	 * Returns what an engine takes that accepts an order for some layers now.
	 * @param layers number of layers of the model
	 */
	synchronized Load load(long version, int firstLayer, int endLayer, int layers) {
		Map<Integer, Long> ages = new TreeMap<>();
		int endIndex = Math.ceilDiv(endLayer * this.chunkCount, layers);
		for (int index = firstLayer * this.chunkCount / layers; index < endIndex; index++) {
			if (!Arrays.equals(this.staged.get(index), bytes(version, index))) {
				Long sinceNanos = this.badSinceNanos.get(index);
				ages.put(index, (sinceNanos != null) ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos)
						: NEVER_GOOD);
			}
		}
		return new Load(version, ages);
	}

	private String digest(long version, int index) {
		return HexFormat.of().formatHex(Digests.newSha256().digest(bytes(version, index)));
	}

	private byte[] bytes(long version, int index) {
		byte[] text = ("piece " + index + " of version " + version).getBytes(StandardCharsets.US_ASCII);
		return Arrays.copyOf(text, Math.max(text.length, this.chunkBytes));
	}

	private static int index(Exchange exchange) {
		return (int) exchange.queryLong("SampleCount", 0);
	}

	/**
	 * What an engine took with one order.
	 *
	 * @param version ordered version
	 * @param badAgesMillis for each chunk that was bad, the time since it turned bad
	 */
	record Load(long version, Map<Integer, Long> badAgesMillis) {

		/**
		 * Returns the chunks that had been bad for longer than a time.
		 */
		List<Integer> badForLongerThan(long millis) {
			return this.badAgesMillis.entrySet()
				.stream()
				.filter((chunk) -> chunk.getValue() > millis)
				.map(Map.Entry::getKey)
				.toList();
		}

	}

}
