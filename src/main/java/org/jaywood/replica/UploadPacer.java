package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Sends chunks in slices at less than the speed of the link. An engine that runs calls
 * sends its answers over the same link, and a full queue there would delay each answer by
 * the time of all slices in it; when the engine is idle, the slices may fill the link.
 * Several chunks are sent concurrently, so that a receiver whose link is busy does not
 * delay the others. A chunk that takes much longer than its share of the link allows is
 * not counted, since its receiver may be gone.
 */
final class UploadPacer {

	/**
	 * Fraction of the link for chunks while the engine runs calls; answers and headers
	 * need the rest.
	 */
	private static final double BUSY_LINK_FRACTION = 0.82;

	/**
	 * Fraction of the link for chunks while the engine is idle; headers and
	 * acknowledgements need the rest.
	 */
	private static final double IDLE_LINK_FRACTION = 0.97;

	static final int SLICE_BYTES = 8 * 1024;

	private static final int MAX_CONCURRENT_CHUNKS = 3;

	/** Time after which an unfinished chunk no longer counts against the limit. */
	private static final long STALL_TIMEOUT_MILLIS = 500;

	private final double linkBytesPerNano;

	private final BooleanSupplier engineBusy;

	/** Chunks being sent. */
	private final Set<Upload> activeUploads = new HashSet<>();

	private int waitingFarChunks;

	private long linkFreeAtNanos = System.nanoTime();

	/**
	 * Creates a pacer.
	 * @param linkBytesPerSecond speed of the link in bytes per second, 0 for no limit
	 * @param engineBusy whether the engine runs calls
	 */
	UploadPacer(long linkBytesPerSecond, BooleanSupplier engineBusy) {
		this.linkBytesPerNano = (double) linkBytesPerSecond / TimeUnit.SECONDS.toNanos(1);
		this.engineBusy = engineBusy;
	}

	/**
	 * Sends a chunk once fewer than {@link #MAX_CONCURRENT_CHUNKS} are being sent. Chunks
	 * for other regions go first.
	 * @param far whether the receiver is in another region, where all agents wait for the
	 * chunk
	 * @return time from the end of the wait to the last byte, in milliseconds
	 */
	long send(OutputStream out, byte[] chunk, boolean far) throws IOException, InterruptedException {
		Upload upload = beginUpload(far);
		try {
			for (int offset = 0; offset < chunk.length; offset += SLICE_BYTES) {
				int length = Math.min(SLICE_BYTES, chunk.length - offset);
				TimeUnit.NANOSECONDS.sleep(reserveLink(length, System.nanoTime()));
				out.write(chunk, offset, length);
				out.flush();
			}
			return upload.elapsedMillis(System.nanoTime());
		}
		finally {
			endUpload(upload);
		}
	}

	private synchronized Upload beginUpload(boolean far) throws InterruptedException {
		this.waitingFarChunks += far ? 1 : 0;
		try {
			while (countMoving(System.nanoTime()) >= MAX_CONCURRENT_CHUNKS || (!far && this.waitingFarChunks > 0)) {
				wait(STALL_TIMEOUT_MILLIS);
			}
			Upload upload = new Upload(System.nanoTime());
			this.activeUploads.add(upload);
			return upload;
		}
		finally {
			this.waitingFarChunks -= far ? 1 : 0;
			notifyAll();
		}
	}

	private synchronized void endUpload(Upload upload) {
		this.activeUploads.remove(upload);
		notifyAll();
	}

	/**
	 * Returns the number of chunks being sent that are not stalled.
	 */
	private long countMoving(long nowNanos) {
		return this.activeUploads.stream().filter((upload) -> !upload.isStalled(nowNanos)).count();
	}

	/**
	 * Reserves the link for a slice.
	 * @return time until the slice may be sent, in nanoseconds
	 */
	synchronized long reserveLink(int length, long nowNanos) {
		if (this.linkBytesPerNano <= 0) {
			return 0;
		}
		double bytesPerNano = this.linkBytesPerNano
				* (this.engineBusy.getAsBoolean() ? BUSY_LINK_FRACTION : IDLE_LINK_FRACTION);
		long startNanos = Math.max(this.linkFreeAtNanos, nowNanos);
		this.linkFreeAtNanos = startNanos + Math.round(length / bytesPerNano);
		return startNanos - nowNanos;
	}

	/**
	 * A chunk being sent.
	 */
	private static final class Upload {

		private final long startNanos;

		Upload(long startNanos) {
			this.startNanos = startNanos;
		}

		long elapsedMillis(long nowNanos) {
			return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.startNanos);
		}

		boolean isStalled(long nowNanos) {
			return elapsedMillis(nowNanos) >= STALL_TIMEOUT_MILLIS;
		}

	}

}
