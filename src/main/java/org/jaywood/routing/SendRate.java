package org.jaywood.routing;

import java.util.Arrays;

/**
 * Times at which this gateway sent calls to one upstream, by which it keeps its share of
 * a limit that all gateways share. Not safe for use by several threads.
 */
final class SendRate {

	/** Longest window whose calls are counted one by one. */
	private static final long MAX_WINDOW_MILLIS = 4_000;

	/** Latest calls that are kept however old they are, for windows of few calls. */
	private static final int MIN_KEPT_CALLS = 2;

	private long[] sentMillis = new long[16];

	private int first;

	private int size;

	void record(long nowMillis) {
		while (this.size > MIN_KEPT_CALLS && get(0) <= nowMillis - MAX_WINDOW_MILLIS) {
			this.first = (this.first + 1) % this.sentMillis.length;
			this.size--;
		}
		if (this.size == this.sentMillis.length) {
			grow();
		}
		this.sentMillis[(this.first + this.size) % this.sentMillis.length] = nowMillis;
		this.size++;
	}

	/**
	 * Returns the time in milliseconds until a window has room for another call, 0 if it
	 * has.
	 */
	long waitMillis(SendWindow window, long nowMillis) {
		if (this.size < window.calls()) {
			return 0;
		}
		long earliestMillis = get(this.size - window.calls());
		return (earliestMillis <= window.sinceMillis()) ? 0
				: Math.max(0, earliestMillis + window.lengthMillis() - nowMillis);
	}

	private long get(int index) {
		return this.sentMillis[(this.first + index) % this.sentMillis.length];
	}

	private void grow() {
		long[] larger = Arrays.copyOf(this.sentMillis, 2 * this.sentMillis.length);
		for (int index = 0; index < this.size; index++) {
			larger[index] = get(index);
		}
		this.sentMillis = larger;
		this.first = 0;
	}

}
