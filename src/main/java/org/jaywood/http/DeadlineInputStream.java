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
	private static final int LAST_LOOK_MILLIS = 1;

	private static final int NOT_COUNTED = -1;

	private long untilNanos = System.nanoTime();

	/** Bytes that had arrived when the time was found to be over and are not read yet. */
	private int arrivedBytes = NOT_COUNTED;

	DeadlineInputStream(Socket socket) throws IOException {
		super(socket.getInputStream());
		this.socket = socket;
	}

	/**
	 * Sets the time within which all that follows must have arrived.
	 */
	void setReadDeadline(long millis, long nowNanos) {
		this.untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.clamp(millis, 1, Integer.MAX_VALUE));
		this.arrivedBytes = NOT_COUNTED;
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		long leftMillis = Math.ceilDiv(this.untilNanos - System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(1));
		if (leftMillis > 0) {
			this.socket.setSoTimeout(Math.toIntExact(leftMillis));
			return super.read(bytes, offset, length);
		}
		return readArrived(bytes, offset, length);
	}

	/**
	 * Reads what had arrived when the time was first found to be over. The first look
	 * shows the end of the connection too.
	 */
	private int readArrived(byte[] bytes, int offset, int length) throws IOException {
		boolean firstLook = this.arrivedBytes == NOT_COUNTED;
		if (firstLook) {
			this.arrivedBytes = super.available();
		}
		if (!firstLook && this.arrivedBytes == 0) {
			throw new SocketTimeoutException("the time for the message has passed");
		}
		this.socket.setSoTimeout(LAST_LOOK_MILLIS);
		int count = super.read(bytes, offset, Math.min(length, Math.max(1, this.arrivedBytes)));
		this.arrivedBytes = Math.max(0, this.arrivedBytes - count);
		return count;
	}

}
