package org.jaywood.weights;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits bytes per second. It grants a request whenever its balance is
 * not negative, so that a chunk larger than the burst is still granted while the
 * long-term rate holds.
 */
final class ByteRateLimiter {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double availableBytes;

	private long lastNanos;

	private boolean initialized;

	/**
	 * Takes bytes if the balance is not negative.
	 * @param bytes bytes to send
	 * @param bytesPerSecond rate; it may change between calls
	 * @param nowNanos present time of the monotonic clock
	 * @return 0 if the bytes were taken, otherwise milliseconds until a call can succeed
	 */
	synchronized long tryAcquire(int bytes, long bytesPerSecond, long nowNanos) {
		if (this.initialized) {
			double refill = (nowNanos - this.lastNanos) / NANOS_PER_SECOND * bytesPerSecond;
			// The balance is at most the bytes of a tenth of a second, which bounds a
			// burst on the link.
			this.availableBytes = Math.min(bytesPerSecond / 10.0, this.availableBytes + refill);
		}
		this.initialized = true;
		this.lastNanos = nowNanos;
		if (this.availableBytes < 0) {
			return 1 + (long) (-this.availableBytes * 1_000 / bytesPerSecond);
		}
		this.availableBytes -= bytes;
		return 0;
	}

}
