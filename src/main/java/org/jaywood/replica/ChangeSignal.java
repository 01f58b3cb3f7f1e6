package org.jaywood.replica;

import java.util.concurrent.TimeUnit;

/**
 * Lets the tasks of an agent wait for a change of what they act upon instead of looking
 * again and again. A change between two waits is never missed. Safe for use by several
 * threads.
 */
final class ChangeSignal {

	private long changeCount;

	/**
	 * Notes a change and wakes all that wait.
	 */
	synchronized void raise() {
		this.changeCount++;
		notifyAll();
	}

	/**
	 * Number of changes so far.
	 */
	synchronized long changeCount() {
		return this.changeCount;
	}

	/**
	 * Waits for a change.
	 * @param seen number of changes that the caller has acted upon
	 * @param waitMillis longest wait
	 */
	synchronized void await(long seen, long waitMillis) throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		long leftMillis = waitMillis;
		while (this.changeCount == seen && leftMillis > 0) {
			wait(leftMillis);
			leftMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
		}
	}

}
