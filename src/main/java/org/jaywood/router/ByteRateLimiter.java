package org.jaywood.router;

/**
 * Bytes per second that calls may move across region links. The bytes of an answer are
 * known only afterwards, so they may drive the balance below zero; no call is let through
 * until it has recovered.
 */
final class ByteRateLimiter {

	private final long bytesPerSecond;

	private double balanceBytes;

	private long refilledMillis;

	ByteRateLimiter(long bytesPerSecond, long nowMillis) {
		this.bytesPerSecond = bytesPerSecond;
		this.balanceBytes = bytesPerSecond;
		this.refilledMillis = nowMillis;
	}

	synchronized boolean isAvailable(long nowMillis) {
		double refilledBytes = Math.max(0, nowMillis - this.refilledMillis) * (double) this.bytesPerSecond / 1_000;
		this.balanceBytes = Math.min(this.bytesPerSecond, this.balanceBytes + refilledBytes);
		this.refilledMillis = nowMillis;
		return this.balanceBytes > 0;
	}

	synchronized void consume(long bytes) {
		this.balanceBytes -= bytes;
	}

}
