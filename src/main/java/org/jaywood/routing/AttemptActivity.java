package org.jaywood.routing;

/**
 * Progress of one attempt, as its gateway has seen it: complete events, or the whole of a
 * plain answer. Written by the task of the call and read by the {@link Dispatcher}.
 */
public final class AttemptActivity {

	/**
	 * Longest time for which an event waits for the caller to take the one before it,
	 * with the time between the two still that of the engine.
	 */
	private static final long MAX_FORWARDING_MILLIS = 10;

	private final long placedMillis;

	private final AttemptObserver observer;

	private long awaitedSinceMillis;

	private boolean awaited;

	private long firstDelayMillis;

	private long firstProgressMillis;

	private long lastProgressMillis = Long.MIN_VALUE;

	private int progressCount;

	AttemptActivity(long placedMillis, AttemptObserver observer) {
		this.observer = observer;
		this.placedMillis = placedMillis;
		this.awaitedSinceMillis = placedMillis;
	}

	long placedMillis() {
		return this.placedMillis;
	}

	AttemptObserver observer() {
		return this.observer;
	}

	/**
	 * Returns the time in milliseconds from the request to the first event that was
	 * expected when the attempt was placed, -1 if none was.
	 */
	public long expectedFirstMillis() {
		return this.observer.expectedFirstMillis();
	}

	/**
	 * Records that the request has been sent. From now on the upstream is awaited.
	 */
	public synchronized void onSent(long nowMillis) {
		this.awaited = true;
		this.awaitedSinceMillis = nowMillis;
	}

	/**
	 * Records progress that is now forwarded to the caller. Until {@link #onForwarded},
	 * nothing is read from the upstream, so that time says nothing about it.
	 */
	public synchronized void onProgress(long nowMillis) {
		if (!begun()) {
			this.firstDelayMillis = nowMillis - this.awaitedSinceMillis;
			this.firstProgressMillis = nowMillis;
			this.observer.onFirst(this.firstDelayMillis, nowMillis);
		}
		else if (this.awaited && this.awaitedSinceMillis - this.lastProgressMillis <= MAX_FORWARDING_MILLIS) {
			this.observer.onGap(nowMillis - this.lastProgressMillis, nowMillis);
		}
		this.lastProgressMillis = nowMillis;
		this.progressCount++;
		this.awaited = false;
	}

	/**
	 * Records that the caller has taken what was forwarded, if there was anything.
	 */
	public synchronized void onForwarded(long nowMillis) {
		if (!this.awaited) {
			onSent(nowMillis);
		}
	}

	synchronized boolean begun() {
		return this.progressCount > 0;
	}

	/**
	 * Returns the time of the latest progress, {@code Long.MIN_VALUE} if there was none.
	 */
	synchronized long lastProgressMillis() {
		return this.lastProgressMillis;
	}

	/**
	 * Returns the time in milliseconds for which the upstream has been awaited, 0 if it
	 * is not.
	 */
	public synchronized long silenceMillis(long nowMillis) {
		return this.awaited ? nowMillis - this.awaitedSinceMillis : 0;
	}

	/**
	 * Returns the number of times at which the attempt has made progress.
	 */
	synchronized int progressCount() {
		return this.progressCount;
	}

	/**
	 * Returns the time in milliseconds from the request to the latest progress, for an
	 * attempt that has begun.
	 */
	synchronized long answerMillis() {
		return this.firstDelayMillis + this.lastProgressMillis - this.firstProgressMillis;
	}

	/**
	 * Returns the time in milliseconds from the request to the first progress.
	 */
	public synchronized long firstDelayMillis() {
		return this.firstDelayMillis;
	}

	/**
	 * Returns the mean time in milliseconds between two events, 0 if there were fewer.
	 */
	synchronized double meanGapMillis() {
		int gaps = this.progressCount - 1;
		return (gaps > 0) ? (this.lastProgressMillis - this.firstProgressMillis) / (double) gaps : 0;
	}

}
