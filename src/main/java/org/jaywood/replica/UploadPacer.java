package org.jaywood.replica;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Sends pieces of weights one after the other, in slices at a little less than the speed
 * of the link. The engine of the VM sends its answers over the same link, and a full
 * queue there would delay each of them by the time of all pieces in it.
 */
final class UploadPacer {

	/** Part of the link that pieces may take. */
	private static final double LINK_SHARE = 0.85;

	private static final int SLICE_BYTES = 8 * 1024;

	private final double bytesPerNano;

	private final ReentrantLock turn = new ReentrantLock(true);

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
	 */
	void send(OutputStream out, byte[] piece) throws IOException, InterruptedException {
		this.turn.lockInterruptibly();
		try {
			for (int offset = 0; offset < piece.length; offset += SLICE_BYTES) {
				int length = Math.min(SLICE_BYTES, piece.length - offset);
				awaitLink(length);
				out.write(piece, offset, length);
				out.flush();
			}
		}
		finally {
			this.turn.unlock();
		}
	}

	private void awaitLink(int length) throws InterruptedException {
		if (this.bytesPerNano <= 0) {
			return;
		}
		long nowNanos = System.nanoTime();
		long waitNanos = this.freeAtNanos - nowNanos;
		if (waitNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(waitNanos);
		}
		this.freeAtNanos = Math.max(this.freeAtNanos, nowNanos) + Math.round(length / this.bytesPerNano);
	}

}
