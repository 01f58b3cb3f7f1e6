package org.jaywood.agent;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;

import org.jaywood.wire.CreditGrant;
import org.jaywood.wire.Frame;
import org.jaywood.wire.Json;

/**
 * Sends the frames of one answer to a router. It never sends more bytes than the router
 * granted. A write that blocks for longer than its time-out is ended by interrupting the
 * writer, which cuts the connection.
 */
final class FlowControlledStream {

	private final OutputStream out;

	private long grantedBytes = CreditGrant.INITIAL_CREDIT_BYTES;

	private long sentBytes;

	private boolean cancelled;

	private long writeStartNanos;

	private Thread writer = Thread.currentThread();

	FlowControlledStream(OutputStream out) {
		this.out = out;
	}

	/**
	 * Applies a credit grant; an older or repeated one has no effect.
	 * @param totalBytes bytes granted since the start of the stream
	 */
	synchronized void grant(long totalBytes) {
		this.grantedBytes = Math.max(this.grantedBytes, totalBytes);
		notifyAll();
	}

	synchronized void cancel() {
		this.cancelled = true;
		notifyAll();
	}

	static byte[] encode(Frame frame) {
		byte[] json = Json.bytes(frame);
		byte[] line = new byte[json.length + 1];
		System.arraycopy(json, 0, line, 0, json.length);
		line[json.length] = '\n';
		return line;
	}

	/**
	 * Waits until a line may be sent.
	 * @return whether there is credit for it
	 * @throws IOException if the call is cancelled or the line exceeds any credit window
	 */
	synchronized boolean awaitCredit(int bytes, long timeoutMillis) throws IOException, InterruptedException {
		if (bytes > CreditGrant.INITIAL_CREDIT_BYTES) {
			throw new IOException("frame of " + bytes + " bytes exceeds the credit window of "
					+ CreditGrant.INITIAL_CREDIT_BYTES + " bytes");
		}
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (!this.cancelled && this.sentBytes + bytes > this.grantedBytes) {
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (leftMillis <= 0) {
				return false;
			}
			wait(leftMillis);
		}
		if (this.cancelled) {
			throw new IOException("call is cancelled");
		}
		return true;
	}

	/**
	 * Returns the number of bytes that may be sent without a further grant.
	 */
	synchronized long creditBytes() {
		return this.grantedBytes - this.sentBytes;
	}

	/**
	 * Sends a line for which there is credit.
	 */
	void send(byte[] line) throws IOException {
		beginWrite(line.length);
		try {
			this.out.write(line);
			this.out.flush();
		}
		finally {
			endWrite();
		}
	}

	/**
	 * Closes the stream after the end marker of the answer.
	 */
	void finish() throws IOException {
		beginWrite(0);
		try {
			this.out.close();
		}
		finally {
			endWrite();
		}
	}

	private synchronized void beginWrite(int bytes) throws IOException {
		if (this.cancelled) {
			throw new IOException("call is cancelled");
		}
		this.sentBytes += bytes;
		this.writer = Thread.currentThread();
		this.writeStartNanos = System.nanoTime();
	}

	private synchronized void endWrite() {
		this.writeStartNanos = 0;
	}

	/**
	 * Interrupts the writer if its current write lasts longer than the time-out.
	 * @return whether the writer was interrupted
	 */
	synchronized boolean interruptBlockedWrite(long nowNanos, long timeoutMillis) {
		if (this.writeStartNanos == 0
				|| nowNanos - this.writeStartNanos < TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
			return false;
		}
		this.writer.interrupt();
		this.writeStartNanos = 0;
		return true;
	}

	synchronized long sentBytes() {
		return this.sentBytes;
	}

}
