package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Input of a socket with one limit for all reads until the next limit is set. The
 * time-out of a socket holds for each read alone, so that a side which sends a byte now
 * and then would never meet it. Once the limit has passed, what has arrived by then can
 * still be read: a process that did not run for a while must not take it for late.
 */
final class DeadlineInputStream extends FilterInputStream {

	private final Socket socket;

	/** Wait that shows what has arrived once the time is over. */
	private static final int EXPIRED_READ_TIMEOUT_MILLIS = 1;

	private static final int NOT_COUNTED = -1;

	private long deadlineNanos = System.nanoTime();

	/** Bytes that had arrived when the time was found to be over and are not read yet. */
	private int arrivedBytes = NOT_COUNTED;

	DeadlineInputStream(Socket socket) throws IOException {
		super(socket.getInputStream());
		this.socket = socket;
	}

	/**
	 * Sets the time within which all that follows must have arrived.
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
	 * Reads what had arrived when the time was first found to be over. The first look
	 * shows the end of the connection too.
	 */
	private int readAfterDeadline(byte[] bytes, int offset, int length) throws IOException {
		boolean firstRead = this.arrivedBytes == NOT_COUNTED;
		if (firstRead) {
			this.arrivedBytes = super.available();
		}
		if (!firstRead && this.arrivedBytes == 0) {
			throw new SocketTimeoutException("the time for the message has passed");
		}
		this.socket.setSoTimeout(EXPIRED_READ_TIMEOUT_MILLIS);
		int count = super.read(bytes, offset, Math.min(length, Math.max(1, this.arrivedBytes)));
		this.arrivedBytes = Math.max(0, this.arrivedBytes - count);
		return count;
	}

}
