package org.jaywood.standin;

import java.util.concurrent.TimeUnit;

/**
 * Rate limiter of a link. Grants reservations in the order in which they are made, so
 * that all connections over a link share its rate.
 */
final class TokenBucket {

	/**
	 * Idle time that a link may make up for, since sleeps end late by their granularity.
	 */
	private static final long BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private final long bytesPerSecond;

	private long freeAtNanos;

	/**
	 * Creates a bucket.
	 * @param bytesPerSecond rate, 0 for unlimited
	 * @param nowNanos present time
	 */
	TokenBucket(long bytesPerSecond, long nowNanos) {
		this.bytesPerSecond = bytesPerSecond;
		this.freeAtNanos = nowNanos;
	}

	/**
	 * Reserves the link for some bytes.
	 * @param bytes number of bytes
	 * @param nowNanos present time
	 * @return time at which the last of the bytes has passed the link
	 */
	synchronized long reserve(int bytes, long nowNanos) {
		if (this.bytesPerSecond == 0) {
			return nowNanos;
		}
		long startNanos = Math.max(this.freeAtNanos, nowNanos - BURST_NANOS);
		this.freeAtNanos = startNanos + TimeUnit.SECONDS.toNanos(bytes) / this.bytesPerSecond;
		return Math.max(this.freeAtNanos, nowNanos);
	}

}
