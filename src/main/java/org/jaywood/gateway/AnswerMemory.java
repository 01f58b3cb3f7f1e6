package org.jaywood.gateway;

import java.util.concurrent.TimeUnit;

import org.jaywood.routing.Outcome;
import org.jaywood.wire.MemoryReservation;

/**
 * Memory that one attempt holds of its answer: reserved before bytes are read, given back
 * when they have been passed on or the attempt ends. An attempt whose answer does not fit
 * ends; its upstream is not at fault. Used only by the thread of the call's task.
 */
final class AnswerMemory implements AutoCloseable {

	/** Unit of the reservation. */
	private static final long STEP_BYTES = 16 * 1024;

	private final MemoryReservation reservation;

	private long lastBytesMillis = nowMillis();

	AnswerMemory(MemoryReservation reservation) {
		this.reservation = reservation;
	}

	/**
	 * Changes what is reserved, before a read that may block.
	 * @param bytes bytes that are held after the read
	 * @throws AttemptEndedException if they do not fit, or the reservation was evicted
	 */
	void beginRead(long bytes) throws AttemptEndedException {
		long missingBytes = Math.ceilDiv(bytes, STEP_BYTES) * STEP_BYTES - this.reservation.bytes();
		if (missingBytes < 0) {
			this.reservation.release(-missingBytes);
		}
		else if (missingBytes > 0 && !this.reservation.tryReserve(missingBytes, nowMillis())) {
			throw exhausted();
		}
		requireKept();
		this.reservation.beginWait(this.lastBytesMillis);
	}

	/**
	 * Records that bytes or the end of the answer have arrived.
	 */
	void endRead() {
		this.lastBytesMillis = nowMillis();
		this.reservation.endWait();
	}

	/**
	 * Checks that the reservation was not evicted, which closes the connection.
	 * @throws AttemptEndedException if it was evicted
	 */
	void requireKept() throws AttemptEndedException {
		if (this.reservation.isClosed()) {
			throw exhausted();
		}
	}

	/**
	 * Records that the caller has received part of the answer.
	 */
	void markAnswered() {
		this.reservation.markAnswered();
	}

	@Override
	public void close() {
		this.reservation.close();
	}

	private static AttemptEndedException exhausted() {
		return new AttemptEndedException(
				new AttemptResult.Indeterminate("no memory for the answer", Outcome.CANCELLED));
	}

	/** The clock of the budget's other users. */
	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
