package org.jaywood.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.BadInputException;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Json;

/**
 * Reads the frames of an agent's response and reports the total number of bytes read, by
 * which the router grants the agent credit. It reads ahead by at most one buffer.
 */
final class FrameReader implements AutoCloseable {

	/**
	 * Largest frame. Base64 makes the data a third longer than the largest answer body of
	 * 4 MiB.
	 */
	private static final int MAX_FRAME_BYTES = 6 * 1024 * 1024;

	private final InputStream in;

	private final LongConsumer readListener;

	private final byte[] buffer = new byte[2 * 1024];

	private int position;

	private int bufferedBytes;

	private long totalBytes;

	private volatile long readStartedNanos;

	private volatile boolean readInProgress;

	FrameReader(InputStream in, LongConsumer readListener) {
		this.in = in;
		this.readListener = readListener;
	}

	/**
	 * Reads the next frame. Skips empty lines, which keep an idle stream alive.
	 * @return the frame, or null at the end of the stream
	 * @throws IOException if the stream fails or ends within a frame
	 */
	@Nullable Frame next() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream(128);
		while (true) {
			if (this.position == this.bufferedBytes && !fill()) {
				if (line.size() > 0) {
					throw new IOException("agent stream ended after " + line.size() + " bytes of an incomplete frame");
				}
				return null;
			}
			int start = this.position;
			while (this.position < this.bufferedBytes && this.buffer[this.position] != '\n') {
				this.position++;
			}
			line.write(this.buffer, start, this.position - start);
			if (line.size() > MAX_FRAME_BYTES) {
				throw new IOException("frame exceeds " + MAX_FRAME_BYTES + " bytes");
			}
			if (this.position < this.bufferedBytes) {
				this.position++;
				if (line.size() > 0) {
					return parse(line.toByteArray());
				}
			}
		}
	}

	private boolean fill() throws IOException {
		this.readStartedNanos = System.nanoTime();
		this.readInProgress = true;
		int count = this.in.read(this.buffer);
		this.readInProgress = false;
		if (count <= 0) {
			return false;
		}
		this.position = 0;
		this.bufferedBytes = count;
		this.totalBytes += count;
		this.readListener.accept(this.totalBytes);
		return true;
	}

	private static Frame parse(byte[] line) throws IOException {
		try {
			return Json.read(line, Frame.class);
		}
		catch (BadInputException ex) {
			throw new IOException("malformed frame of " + line.length + " bytes", ex);
		}
	}

	/**
	 * Closes the stream if no bytes have arrived for too long. Time in which the router
	 * waits for the caller to take the answer does not count.
	 * @param limitMillis longest time without bytes
	 * @param nowNanos present time
	 */
	void closeIfIdle(long limitMillis, long nowNanos) {
		if (this.readInProgress && nowNanos - this.readStartedNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
			close();
		}
	}

	long totalBytes() {
		return this.totalBytes;
	}

	@Override
	public void close() {
		try {
			this.in.close();
		}
		catch (IOException ex) {
			// The connection is not used again, even if the close fails.
		}
	}

}
