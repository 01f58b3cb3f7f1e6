package org.jaywood.store;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Computes the delays between retries of a failing call. They double up to a maximum and
 * are randomized, so that not all processes of a fleet call a recovering service at the
 * same time.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 20;

	private final long initialMillis;

	private final long maxMillis;

	private int consecutiveFailures;

	public Backoff(long firstMillis, long longestMillis) {
		this.initialMillis = firstMillis;
		this.maxMillis = longestMillis;
	}

	/**
	 * Records a failure.
	 * @return delay before the next retry in milliseconds, between half of the current
	 * maximum and the whole
	 */
	public synchronized long nextDelayMillis() {
		long boundMillis = Math.min(this.maxMillis,
				this.initialMillis << Math.min(this.consecutiveFailures, MAX_DOUBLINGS));
		this.consecutiveFailures++;
		return ThreadLocalRandom.current().nextLong(boundMillis / 2, boundMillis + 1);
	}

	public synchronized void reset() {
		this.consecutiveFailures = 0;
	}

}
