package org.jaywood.router;

/**
 * Limits the bytes per second that calls move over region links. The size of an answer is
 * known only after the call, so the balance may become negative; until it is positive
 * again, no call may cross regions.
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
