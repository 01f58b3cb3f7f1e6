package org.jaywood.http;

import java.util.concurrent.TimeUnit;

import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;

/**
 * Memory of the head of one request: reserved as its bytes arrive, and reduced to what
 * the call keeps once the head is complete.
 */
final class HeadReservation {

	/** Lines are parsed as characters, in buffers that double as they grow. */
	static final int PARSED_BYTES_PER_BYTE = 4;

	/** Objects for one field beside the characters of its name and value. */
	static final int FIELD_BYTES = 128;

	private final MemoryReservation memory;

	private long reservedBytes;

	HeadReservation(MemoryReservation memory) {
		this.memory = memory;
	}

	/**
	 * Reserves memory for bytes of the head that have arrived.
	 * @throws MemoryLimitException if it does not fit, or the reservation was evicted
	 */
	void onArrived(int bytes) {
		reserve((long) bytes * PARSED_BYTES_PER_BYTE);
	}

	/**
	 * Reduces the reservation to what the fields of a complete head take.
	 * @throws MemoryLimitException if many small fields take more than their bytes did,
	 * and do not fit
	 */
	void onComplete(int headBytes, int fields) {
		long keptBytes = headBytes + (long) fields * FIELD_BYTES;
		if (keptBytes > this.reservedBytes) {
			reserve(keptBytes - this.reservedBytes);
		}
		else {
			this.memory.release(this.reservedBytes - keptBytes);
		}
	}

	private void reserve(long bytes) {
		if (!this.memory.tryReserve(bytes, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))) {
			throw new MemoryLimitException("the head of a request");
		}
		this.reservedBytes += bytes;
	}

}
