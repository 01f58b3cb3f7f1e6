package org.jaywood.router;

/**
 * Bytes per second that calls may move across region links. The bytes of an answer are
 * known only afterwards, so they may drive the balance below zero; no call is let through
 * until it has recovered.
 */
final class ByteRateLimiter {

	private final long bytesPerSecond;

	private double balance;

	private long refilledMillis;

	ByteRateLimiter(long bytesPerSecond, long nowMillis) {
		this.bytesPerSecond = bytesPerSecond;
		this.balance = bytesPerSecond;
		this.refilledMillis = nowMillis;
	}

	synchronized boolean available(long nowMillis) {
		double earned = Math.max(0, nowMillis - this.refilledMillis) * (double) this.bytesPerSecond / 1_000;
		this.balance = Math.min(this.bytesPerSecond, this.balance + earned);
		this.refilledMillis = nowMillis;
		return this.balance > 0;
	}

	synchronized void spend(long bytes) {
		this.balance -= bytes;
	}

}
