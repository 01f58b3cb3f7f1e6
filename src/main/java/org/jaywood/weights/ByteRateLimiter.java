package org.jaywood.weights;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket over bytes. A take is granted when the bucket is not in debt, so that a
 * chunk larger than the burst still passes and the long-term rate holds.
 */
final class ByteRateLimiter {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double availableBytes;

	private long lastNanos;

	private boolean initialized;

	/**
	 * Takes bytes if the budget allows it.
	 * @param bytes bytes to send
	 * @param bytesPerSecond rate; it may change between calls
	 * @param nowNanos present time of the monotonic clock
	 * @return 0 if taken, otherwise milliseconds until a take can succeed
	 */
	synchronized long tryAcquire(int bytes, long bytesPerSecond, long nowNanos) {
		if (this.initialized) {
			double refill = (nowNanos - this.lastNanos) / NANOS_PER_SECOND * bytesPerSecond;
			// At most a tenth of a second accrues, which bounds a burst on the link.
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
