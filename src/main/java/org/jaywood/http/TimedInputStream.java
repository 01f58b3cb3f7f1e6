package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Input of a socket with one limit for all reads until the next limit is set. The
 * time-out of a socket holds for each read alone, so that a side which sends a byte now
 * and then would never meet it.
 */
final class TimedInputStream extends FilterInputStream {

	private final Socket socket;

	private long untilNanos = System.nanoTime();

	TimedInputStream(Socket socket) throws IOException {
		super(socket.getInputStream());
		this.socket = socket;
	}

	/**
	 * Sets the time within which all that follows must have arrived.
	 */
	void limit(long millis, long nowNanos) {
		this.untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.clamp(millis, 1, Integer.MAX_VALUE));
	}

	@Override
	public int read() throws IOException {
		awaitWithinLimit();
		return super.read();
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		awaitWithinLimit();
		return super.read(bytes, offset, length);
	}

	private void awaitWithinLimit() throws IOException {
		long leftMillis = Math.ceilDiv(this.untilNanos - System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(1));
		if (leftMillis <= 0) {
			throw new SocketTimeoutException("the time for the answer has passed");
		}
		this.socket.setSoTimeout(Math.toIntExact(leftMillis));
	}

}
