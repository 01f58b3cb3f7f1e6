package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Input of a socket with one deadline for all reads until the next deadline is set. The
 * time-out of a socket applies to each read alone, so that a sender of single bytes at
 * long intervals would never exceed it. After the deadline, bytes that have already
 * arrived can still be read, so that a process does not treat them as late after a stall.
 */
final class DeadlineInputStream extends FilterInputStream {

	private final Socket socket;

	/** Time-out of a read after the deadline; the least value that a socket has. */
	private static final int EXPIRED_READ_TIMEOUT_MILLIS = 1;

	private static final int NOT_COUNTED = -1;

	private long deadlineNanos = System.nanoTime();

	/** Unread bytes among those that had arrived at the first read after the deadline. */
	private int arrivedBytes = NOT_COUNTED;

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

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		long remainingMillis = Math.ceilDiv(this.deadlineNanos - System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(1));
		if (remainingMillis > 0) {
			this.socket.setSoTimeout(Math.toIntExact(remainingMillis));
			return super.read(bytes, offset, length);
		}
		return readAfterDeadline(bytes, offset, length);
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
