package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;

/**
 * Sends pieces of weights in slices at less than the speed of the link. The engine of the
 * VM sends its answers over the same link, and a full queue there would delay each of
 * them by the time of all slices in it. A few pieces are sent at once, so that a receiver
 * whose link is busy does not hold up the others.
 */
final class UploadPacer {

	/** Part of the link that pieces may take; answers and headers need the rest. */
	private static final double LINK_SHARE = 0.82;

	private static final int SLICE_BYTES = 8 * 1024;

	private static final int PIECES_AT_ONCE = 3;

	private final double bytesPerNano;

	private int active;

	private int farWaiting;

	private long freeAtNanos = System.nanoTime();

	/**
	 * Creates a pacer.
	 * @param linkBytesPerSecond speed of the link, 0 for no limit
	 */
	UploadPacer(long linkBytesPerSecond) {
		this.bytesPerNano = LINK_SHARE * linkBytesPerSecond / TimeUnit.SECONDS.toNanos(1);
	}

	/**
	 * Sends a piece in its turn.
	 * @param far whether it goes to another region, where all agents wait for it
	 */
	void send(OutputStream out, byte[] piece, boolean far) throws IOException, InterruptedException {
		begin(far);
		try {
			for (int offset = 0; offset < piece.length; offset += SLICE_BYTES) {
				int length = Math.min(SLICE_BYTES, piece.length - offset);
				TimeUnit.NANOSECONDS.sleep(reserve(length, System.nanoTime()));
				out.write(piece, offset, length);
				out.flush();
			}
		}
		finally {
			end();
		}
	}

	private synchronized void begin(boolean far) throws InterruptedException {
		this.farWaiting += far ? 1 : 0;
		try {
			while (this.active >= PIECES_AT_ONCE || (!far && this.farWaiting > 0)) {
				wait();
			}
			this.active++;
		}
		finally {
			this.farWaiting -= far ? 1 : 0;
		}
	}

	private synchronized void end() {
		this.active--;
		notifyAll();
	}

	/**
	 * Takes the link for a slice.
	 * @return time until the slice may be sent, in nanoseconds
	 */
	private synchronized long reserve(int length, long nowNanos) {
		if (this.bytesPerNano <= 0) {
			return 0;
		}
		long startNanos = Math.max(this.freeAtNanos, nowNanos);
		this.freeAtNanos = startNanos + Math.round(length / this.bytesPerNano);
		return startNanos - nowNanos;
	}

}
