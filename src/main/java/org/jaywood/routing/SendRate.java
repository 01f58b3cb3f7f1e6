package org.jaywood.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the calls sent to one upstream within the last second. Limiting them bounds the
 * calls that reach an engine when it turns cold. Not safe for use by several threads.
 */
final class SendRate {

	/**
	 * Slightly more than the second to which the limit applies, since calls are in
	 * transit for different times.
	 */
	private static final long WINDOW_MILLIS = 1_100;

	private final Deque<Long> sentMillis = new ArrayDeque<>();

	void record(long nowMillis) {
		this.sentMillis.addLast(nowMillis);
	}

	int countInWindow(long nowMillis) {
		while (!this.sentMillis.isEmpty() && this.sentMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			this.sentMillis.removeFirst();
		}
		return this.sentMillis.size();
	}

}
