package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Sends pieces of weights in slices at less than the speed of the link. An engine that
 * runs calls sends its answers over the same link, and a full queue there would delay
 * each of them by the time of all slices in it; beside an idle engine the slices may fill
 * the link. A few pieces are sent at once, so that a receiver whose link is busy does not
 * hold up the others. One that takes much longer than its part of the link allows does
 * not count: it may be gone for good.
 */
final class UploadPacer {

	/** Part of the link that pieces may take; answers and headers need the rest. */
	private static final double BUSY_LINK_FRACTION = 0.82;

	/**
	 * Part of the link beside an idle engine; headers and acknowledgements need the rest.
	 */
	private static final double IDLE_LINK_FRACTION = 0.97;

	static final int SLICE_BYTES = 8 * 1024;

	private static final int MAX_CONCURRENT_CHUNKS = 3;

	/** Time after which a piece on its way no longer holds up others. */
	private static final long STALL_TIMEOUT_MILLIS = 500;

	private final double linkBytesPerNano;

	private final BooleanSupplier engineBusy;

	/** Pieces on their way. */
	private final Set<Upload> activeUploads = new HashSet<>();

	private int waitingFarUploads;

	private long linkFreeAtNanos = System.nanoTime();

	/**
	 * Creates a pacer.
	 * @param linkBytesPerSecond speed of the link, 0 for no limit
	 * @param engineBusy whether the engine runs calls
	 */
	UploadPacer(long linkBytesPerSecond, BooleanSupplier engineBusy) {
		this.linkBytesPerNano = (double) linkBytesPerSecond / TimeUnit.SECONDS.toNanos(1);
		this.engineBusy = engineBusy;
	}

	/**
	 * Sends a piece in its turn.
	 * @param far whether it goes to another region, where all agents wait for it
	 * @return time that it took since its turn came, in milliseconds
	 */
	long send(OutputStream out, byte[] piece, boolean far) throws IOException, InterruptedException {
		Upload sending = beginUpload(far);
		try {
			for (int offset = 0; offset < piece.length; offset += SLICE_BYTES) {
				int length = Math.min(SLICE_BYTES, piece.length - offset);
				TimeUnit.NANOSECONDS.sleep(reserveLink(length, System.nanoTime()));
				out.write(piece, offset, length);
				out.flush();
			}
			return sending.elapsedMillis(System.nanoTime());
		}
		finally {
			endUpload(sending);
		}
	}

	private synchronized Upload beginUpload(boolean far) throws InterruptedException {
		this.waitingFarUploads += far ? 1 : 0;
		try {
			while (countMoving(System.nanoTime()) >= MAX_CONCURRENT_CHUNKS || (!far && this.waitingFarUploads > 0)) {
				wait(STALL_TIMEOUT_MILLIS);
			}
			Upload sending = new Upload(System.nanoTime());
			this.activeUploads.add(sending);
			return sending;
		}
		finally {
			this.waitingFarUploads -= far ? 1 : 0;
			notifyAll();
		}
	}

	private synchronized void endUpload(Upload sending) {
		this.activeUploads.remove(sending);
		notifyAll();
	}

	/**
	 * Number of pieces on their way that are not stalled.
	 */
	private long countMoving(long nowNanos) {
		return this.activeUploads.stream().filter((sending) -> !sending.isStalled(nowNanos)).count();
	}

	/**
	 * Takes the link for a slice.
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
	 * A piece on its way.
	 */
	private static final class Upload {

		private final long startNanos;

		Upload(long sinceNanos) {
			this.startNanos = sinceNanos;
		}

		long elapsedMillis(long nowNanos) {
			return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.startNanos);
		}

		boolean isStalled(long nowNanos) {
			return elapsedMillis(nowNanos) >= STALL_TIMEOUT_MILLIS;
		}

	}

}
