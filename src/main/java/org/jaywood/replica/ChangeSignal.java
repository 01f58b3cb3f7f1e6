package org.jaywood.replica;

import java.util.concurrent.TimeUnit;

/**
 * Counts changes and lets the tasks of an agent wait for the next one instead of polling.
 * A change between two waits is not missed. Thread-safe.
 */
final class ChangeSignal {

	private long changeCount;

	/**
	 * Counts a change and wakes all waiting tasks.
	 */
	synchronized void raise() {
		this.changeCount++;
		notifyAll();
	}

	/**
	 * Returns the number of changes so far.
	 */
	synchronized long changeCount() {
		return this.changeCount;
	}

	/**
	 * Waits for a change.
	 * @param seenCount number of changes that the caller has handled
	 * @param waitMillis maximum wait
	 */
	synchronized void await(long seenCount, long waitMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		long remainingMillis = waitMillis;
		while (this.changeCount == seenCount && remainingMillis > 0) {
			wait(remainingMillis);
			remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
		}
	}

}
