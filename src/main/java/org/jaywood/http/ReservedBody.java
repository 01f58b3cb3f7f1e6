package org.jaywood.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;

/**
 * Body of a message in memory that is reserved before it is allocated: at once if its
 * length is known, so that its sender learns before it sends whether it fits, else step
 * by step.
 */
final class ReservedBody {

	private static final int FIRST_STEP_BYTES = 16 * 1024;

	private final int limitBytes;

	/** Bytes after which nothing more is read. */
	private final long endBytes;

	private final MemoryReservation memory;

	private byte[] bytes = new byte[0];

	/**
	 * Reserves the memory of a body of known length.
	 * @param length length of the body in bytes, at most the limit; negative if its end
	 * tells it
	 * @param limitBytes largest size of the body
	 * @param memory reservation to which the body counts
	 * @throws MemoryLimitException if the body does not fit
	 */
	ReservedBody(long length, int limitBytes, MemoryReservation memory) {
		this.limitBytes = limitBytes;
		this.endBytes = (length >= 0) ? length : limitBytes + 1L;
		this.memory = memory;
		if (length >= 0) {
			resize(0, Math.toIntExact(length));
		}
	}

	/**
	 * Reads the body.
	 * @return the body, or null if it exceeds the limit
	 * @throws MemoryLimitException if it does not fit
	 */
	byte @Nullable [] read(InputStream in) throws IOException {
		int count = 0;
		int read = 0;
		while (read >= 0 && count < this.endBytes) {
			if (count == this.bytes.length) {
				resize(count, nextLength(count));
			}
			read = in.read(this.bytes, count, this.bytes.length - count);
			count += Math.max(0, read);
		}
		if (count > this.limitBytes) {
			return null;
		}
		resize(count, count);
		return this.bytes;
	}

	private int nextLength(int length) {
		return Math.toIntExact(Math.min(Math.max(FIRST_STEP_BYTES, 2L * length), this.endBytes));
	}

	/**
	 * Moves the bytes read so far into an array of another size. Both are reserved while
	 * both are kept.
	 */
	private void resize(int count, int newLength) {
		int oldLength = this.bytes.length;
		if (newLength == oldLength) {
			return;
		}
		if (!this.memory.tryReserve(newLength, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))) {
			throw new MemoryLimitException("a body of " + newLength + " bytes");
		}
		byte[] moved = new byte[newLength];
		System.arraycopy(this.bytes, 0, moved, 0, count);
		this.bytes = moved;
		this.memory.release(oldLength);
	}

}
