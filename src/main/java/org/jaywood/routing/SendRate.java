package org.jaywood.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Calls sent to one upstream within the last second, which bound what an engine can meet
 * at the moment at which it turns cold. Not safe for use by several threads.
 */
final class SendRate {

	/** A little over the second that counts, since calls travel for different times. */
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
