package org.jaywood.replica;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Compares the staged chunks of an engine with the verified ones, and replaces those that
 * differ. The engine is asked over more connections at once the longer a comparison of
 * all chunks would take, so that the first one is still young after the last. Not safe
 * for use by several threads.
 */
final class StagingVerifier {

	/** Time that one pass over all chunks should not exceed. */
	private static final long TARGET_PASS_MILLIS = 400;

	private static final int MAX_CONNECTIONS = 16;

	/** Staged chunks that are received at the same time, together. */
	private static final long MAX_BYTES_IN_FLIGHT = ChunkManifest.MAX_CHUNK_BYTES;

	private final EngineControl engine;

	private final LongSupplier bootClockMillis;

	/**
	 * Halved after a failure, since an engine may answer more slowly the more it is
	 * asked.
	 */
	private int maxConnections = MAX_CONNECTIONS;

	/** Connections with which the next pass begins: as many as the last one needed. */
	private int firstConnections = 1;

	/**
	 * Creates a verifier.
	 * @param bootClockMillis clock that goes on while the VM is suspended
	 */
	StagingVerifier(EngineControl engine, LongSupplier bootClockMillis) {
		this.engine = engine;
		this.bootClockMillis = bootClockMillis;
	}

	/**
	 * Compares chunks of a complete download.
	 * @param firstChunk index of the first chunk
	 * @param endChunk index after the last one
	 * @throws EngineUnavailableException if a chunk could not be compared or replaced
	 */
	Verification verify(WeightsDownload download, int firstChunk, int endChunk)
			throws EngineUnavailableException, InterruptedException {
		try {
			Verification verification = new Pass(download, firstChunk, endChunk).run();
			this.firstConnections = (verification.passMillis() > TARGET_PASS_MILLIS) ? verification.connections() : 1;
			this.maxConnections = Math.min(MAX_CONNECTIONS, this.maxConnections + 1);
			return verification;
		}
		catch (EngineUnavailableException ex) {
			this.maxConnections = Math.max(1, this.maxConnections / 2);
			throw ex;
		}
	}

	/**
	 * Result of one pass.
	 *
	 * @param oldestMillis time at which the oldest comparison began, by the boot clock
	 * @param replacedCount number of chunks that differed
	 * @param passMillis time that the pass took, in milliseconds
	 * @param connections connections to the engine that were used at once
	 */
	record Verification(long oldestMillis, int replacedCount, long passMillis, int connections) {
	}

	/**
	 * One pass over some chunks by one or several threads, which take the indexes in
	 * turn.
	 */
	private final class Pass {

		private final WeightsDownload download;

		private final int firstIndex;

		private final int endIndex;

		private final int connectionLimit;

		private final long startMillis = StagingVerifier.this.bootClockMillis.getAsLong();

		private final List<Future<@Nullable Void>> helpers = new ArrayList<>();

		private int nextIndex;

		private int comparedCount;

		private int replacedCount;

		private long oldestMillis = Long.MAX_VALUE;

		private boolean failed;

		Pass(WeightsDownload download, int firstChunk, int endChunk) {
			this.download = download;
			this.firstIndex = firstChunk;
			this.endIndex = endChunk;
			this.nextIndex = firstChunk;
			long chunkBytes = Math.max(1, download.chunkAt(0).length);
			this.connectionLimit = (int) Math.clamp(MAX_BYTES_IN_FLIGHT / chunkBytes, 1,
					StagingVerifier.this.maxConnections);
		}

		Verification run() throws EngineUnavailableException, InterruptedException {
			try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
				for (int i = 1; i < StagingVerifier.this.firstConnections; i++) {
					addHelper(executor);
				}
				compareUntilDone(executor);
				for (int i = 0; i < helperCount(); i++) {
					awaitHelper(i);
				}
			}
			int size = this.endIndex - this.firstIndex;
			if (this.comparedCount != size) {
				throw new IllegalStateException(this.comparedCount + " of " + size + " chunks compared");
			}
			long passMillis = StagingVerifier.this.bootClockMillis.getAsLong() - this.startMillis;
			return new Verification(this.oldestMillis, this.replacedCount, passMillis, 1 + this.helpers.size());
		}

		private synchronized int helperCount() {
			return this.helpers.size();
		}

		private void awaitHelper(int number) throws EngineUnavailableException, InterruptedException {
			Future<@Nullable Void> helper;
			synchronized (this) {
				helper = this.helpers.get(number);
			}
			try {
				helper.get();
			}
			catch (ExecutionException ex) {
				switch (ex.getCause()) {
					case EngineUnavailableException failure -> throw failure;
					case RuntimeException failure -> throw failure;
					case Error failure -> throw failure;
					case null, default -> throw new IllegalStateException(ex);
				}
			}
		}

		private void compareUntilDone(ExecutorService executor) throws EngineUnavailableException {
			boolean complete = false;
			try {
				for (int index = takeIndex(); index < this.endIndex; index = takeIndex()) {
					compare(index);
					addHelperIfSlow(executor);
				}
				complete = true;
			}
			finally {
				endAfterFailure(!complete);
			}
		}

		/**
		 * Returns the next index to compare, the end if there is none or a thread has
		 * failed.
		 */
		private synchronized int takeIndex() {
			return (this.failed || this.nextIndex == this.endIndex) ? this.endIndex : this.nextIndex++;
		}

		private synchronized void endAfterFailure(boolean failure) {
			this.failed |= failure;
		}

		private void compare(int index) throws EngineUnavailableException {
			String model = this.download.chunkManifest().model();
			byte[] verified = this.download.chunkAt(index);
			long beganMillis = StagingVerifier.this.bootClockMillis.getAsLong();
			boolean differs = !Arrays.equals(StagingVerifier.this.engine.readStaged(model, index), verified);
			if (differs) {
				beganMillis = StagingVerifier.this.bootClockMillis.getAsLong();
				StagingVerifier.this.engine.writeStaged(model, index, verified);
			}
			onCompared(beganMillis, differs);
		}

		private synchronized void onCompared(long beganMillis, boolean replaced) {
			this.comparedCount++;
			this.replacedCount += replaced ? 1 : 0;
			this.oldestMillis = Math.min(this.oldestMillis, beganMillis);
		}

		/**
		 * Adds a thread if the rest of the pass would take too long at the pace so far.
		 */
		private synchronized void addHelperIfSlow(ExecutorService executor) {
			long elapsedMillis = StagingVerifier.this.bootClockMillis.getAsLong() - this.startMillis;
			long restMillis = elapsedMillis * (this.endIndex - this.nextIndex) / this.comparedCount;
			if (elapsedMillis + restMillis > TARGET_PASS_MILLIS) {
				addHelper(executor);
			}
		}

		/**
		 * Adds a thread if there is a chunk for it and its connection is within the
		 * limit.
		 */
		private synchronized void addHelper(ExecutorService executor) {
			if (this.nextIndex < this.endIndex && 1 + this.helpers.size() < this.connectionLimit) {
				this.helpers.add(executor.submit(() -> {
					compareUntilDone(executor);
					return null;
				}));
			}
		}

	}

}
