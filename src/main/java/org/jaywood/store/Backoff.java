package org.jaywood.store;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Pauses between tries of a failing call. They double up to a bound and are spread by
 * chance, so that a fleet does not return to a recovering service at one moment.
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
	 * Notes a failure.
	 * @return pause before the next try, between half and all of the present bound
	 */
	public synchronized long failed() {
		long boundMillis = Math.min(this.maxMillis,
				this.initialMillis << Math.min(this.consecutiveFailures, MAX_DOUBLINGS));
		this.consecutiveFailures++;
		return ThreadLocalRandom.current().nextLong(boundMillis / 2, boundMillis + 1);
	}

	public synchronized void succeeded() {
		this.consecutiveFailures = 0;
	}

}
