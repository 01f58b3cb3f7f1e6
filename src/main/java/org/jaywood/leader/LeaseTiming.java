package org.jaywood.leader;

/**
 * Times of the lease.
 *
 * @param leaseMillis time for which an acknowledged write gives the lease
 * @param marginMillis time by which a leader stops earlier and a candidate waits longer
 * @param renewMillis interval of the renewals
 * @param retryMillis pause after a failed renewal
 * @param minPollMillis least interval at which a candidate reads the lease
 * @param maxPollMillis longest such interval
 */
public record LeaseTiming(long leaseMillis, long marginMillis, long renewMillis, long retryMillis, long minPollMillis,
		long maxPollMillis) {

	private static final long MARGIN_MILLIS = 500;

	private static final long RENEW_MILLIS = 1_000;

	private static final long RETRY_MILLIS = 200;

	private static final long MIN_POLL_MILLIS = 1_000;

	private static final long MAX_POLL_MILLIS = 2_000;

	/**
	 * Returns the usual times for a lease of the given length.
	 */
	public static LeaseTiming of(long leaseMillis) {
		// A short lease is renewed more often, so that two renewals fit into it.
		return new LeaseTiming(leaseMillis, Math.min(MARGIN_MILLIS, leaseMillis / 6),
				Math.min(RENEW_MILLIS, leaseMillis / 3), RETRY_MILLIS, MIN_POLL_MILLIS, MAX_POLL_MILLIS);
	}

	/**
	 * Returns the time for which a candidate must see no renewal before it may take over.
	 */
	long takeoverMillis() {
		return this.leaseMillis + this.marginMillis;
	}

	/**
	 * Returns the time after which a process that has given up its lease may take it
	 * again, long enough for every other candidate to poll first.
	 */
	long retakeMillis() {
		return takeoverMillis() + 2 * this.maxPollMillis;
	}

	/**
	 * Returns the time for which a leader may act after it sent an acknowledged write.
	 */
	long actMillis() {
		return this.leaseMillis - this.marginMillis;
	}

}
