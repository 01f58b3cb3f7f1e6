package org.jaywood.replica;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measured rate at which chunks arrive at an agent, over the last two seconds. The window
 * is longer than the wait at one peer ({@link DownloadScheduler}), so that a single
 * silent peer does not look like the end of all arrivals. Not thread-safe.
 */
final class ArrivalRate {

	private static final long WINDOW_MILLIS = 2_000;

	/** Least time over which arrivals are averaged. */
	private static final long MIN_SPAN_MILLIS = 100;

	private final Deque<Arrival> arrivals = new ArrayDeque<>();

	private long firstMillis = Long.MAX_VALUE;

	/**
	 * Records chunks.
	 * @param sinceMillis time since which they may have arrived
	 */
	void onArrival(int chunks, long sinceMillis, long nowMillis) {
		expire(nowMillis);
		if (this.arrivals.isEmpty()) {
			this.firstMillis = sinceMillis;
		}
		this.arrivals.add(new Arrival(chunks, nowMillis));
	}

	/**
	 * Returns the chunks for each millisecond, 0 if none arrived lately.
	 */
	double chunksPerMilli(long nowMillis) {
		expire(nowMillis);
		long chunks = this.arrivals.stream().mapToLong(Arrival::chunks).sum();
		long sinceMillis = Math.max(this.firstMillis, nowMillis - WINDOW_MILLIS);
		return (chunks == 0) ? 0 : (double) chunks / Math.max(MIN_SPAN_MILLIS, nowMillis - sinceMillis);
	}

	private void expire(long nowMillis) {
		while (!this.arrivals.isEmpty() && nowMillis - this.arrivals.peek().atMillis() > WINDOW_MILLIS) {
			this.arrivals.poll();
		}
	}

	private record Arrival(int chunks, long atMillis) {
	}

}
