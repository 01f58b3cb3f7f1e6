package org.jaywood.store;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Pauses between tries of a failing call. They double up to a bound and are spread by
 * chance, so that a fleet does not return to a recovering service at one moment.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 20;

	private final long firstMillis;

	private final long longestMillis;

	private int failures;

	public Backoff(long firstMillis, long longestMillis) {
		this.firstMillis = firstMillis;
		this.longestMillis = longestMillis;
	}

	/**
	 * Notes a failure.
	 * @return pause before the next try, between half and all of the present bound
	 */
	public synchronized long failed() {
		long bound = Math.min(this.longestMillis, this.firstMillis << Math.min(this.failures, MAX_DOUBLINGS));
		this.failures++;
		return ThreadLocalRandom.current().nextLong(bound / 2, bound + 1);
	}

	public synchronized void succeeded() {
		this.failures = 0;
	}

}
