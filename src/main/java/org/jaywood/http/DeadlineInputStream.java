package org.jaywood.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.MemoryLimitException;
import org.jaywood.wire.MemoryReservation;

/**
 * Input of a socket with one deadline for all reads until the next deadline is set. The
 * time-out of a socket applies to each read alone, so that a sender of single bytes at
 * long intervals would never exceed it. After the deadline, bytes that have already
 * arrived can still be read, so that a process does not treat them as late after a stall.
 */
final class DeadlineInputStream extends BulkInputStream {

	private final Socket socket;

	/** Time-out of a read after the deadline; the least value that a socket has. */
	private static final int EXPIRED_READ_TIMEOUT_MILLIS = 1;

	private static final int NOT_COUNTED = -1;

	/** Time-out of a read after which it is checked whether its memory was evicted. */
	private static final long EVICTION_CHECK_MILLIS = 200;

	private long deadlineNanos = System.nanoTime();

	/** Unread bytes among those that had arrived at the first read after the deadline. */
	private int arrivedBytes = NOT_COUNTED;

	private @Nullable MemoryReservation memory;

	DeadlineInputStream(Socket socket) throws IOException {
		super(socket.getInputStream());
		this.socket = socket;
	}

	/**
	 * Sets the time, counted from {@code nowNanos}, within which all following bytes must
	 * arrive.
	 */
	void setReadDeadline(long timeoutMillis, long nowNanos) {
		this.deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.clamp(timeoutMillis, 1, Integer.MAX_VALUE));
		this.arrivedBytes = NOT_COUNTED;
	}

	/**
	 * Sets the reservation for the bytes that are read. While a read waits, it may be
	 * evicted, which ends the read with a {@link MemoryLimitException}.
	 */
	void setMemory(@Nullable MemoryReservation memory) {
		this.memory = memory;
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		MemoryReservation reservation = this.memory;
		if (reservation != null) {
			return read(bytes, offset, length, reservation);
		}
		long remainingMillis = remainingMillis();
		if (remainingMillis > 0) {
			return readWithin(remainingMillis, bytes, offset, length);
		}
		return readAfterDeadline(bytes, offset, length);
	}

	private int read(byte[] bytes, int offset, int length, MemoryReservation reservation) throws IOException {
		reservation.beginWait(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		try {
			long remainingMillis = remainingMillis();
			while (remainingMillis > 0 && !reservation.isClosed()) {
				try {
					return readWithin(Math.min(remainingMillis, EVICTION_CHECK_MILLIS), bytes, offset, length);
				}
				catch (SocketTimeoutException ex) {
					remainingMillis = remainingMillis();
				}
			}
			if (reservation.isClosed()) {
				throw new MemoryLimitException("a request that arrives slowly");
			}
			return readAfterDeadline(bytes, offset, length);
		}
		finally {
			reservation.endWait();
		}
	}

	private long remainingMillis() {
		return Math.ceilDiv(this.deadlineNanos - System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(1));
	}

	private int readWithin(long timeoutMillis, byte[] bytes, int offset, int length) throws IOException {
		this.socket.setSoTimeout(Math.toIntExact(timeoutMillis));
		return super.read(bytes, offset, length);
	}

	/**
	 * Reads bytes that had arrived at the first read after the deadline. The first such
	 * read also detects the end of the connection.
	 */
	private int readAfterDeadline(byte[] bytes, int offset, int length) throws IOException {
		boolean firstRead = this.arrivedBytes == NOT_COUNTED;
		if (firstRead) {
			this.arrivedBytes = super.available();
		}
		if (!firstRead && this.arrivedBytes == 0) {
			throw new SocketTimeoutException("the read deadline has passed");
		}
		this.socket.setSoTimeout(EXPIRED_READ_TIMEOUT_MILLIS);
		int count = super.read(bytes, offset, Math.min(length, Math.max(1, this.arrivedBytes)));
		this.arrivedBytes = Math.max(0, this.arrivedBytes - count);
		return count;
	}

}
