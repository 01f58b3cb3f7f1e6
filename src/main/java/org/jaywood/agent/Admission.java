package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.jaywood.wire.RefusalReason;

/**
 * Decides what the upstream of this agent may receive. A call reaches the upstream only
 * with an admission, and each admission is released exactly once.
 */
public final class Admission {

	private boolean open;

	private boolean leaving;

	private int inFlight;

	/**
	 * Admits a call or refuses it.
	 * @throws AdmissionRefusal with the reason
	 */
	public synchronized void admit() {
		if (this.leaving) {
			throw new AdmissionRefusal(RefusalReason.DRAINING, 0);
		}
		if (!this.open) {
			throw new AdmissionRefusal(RefusalReason.NOT_READY, 1_000);
		}
		this.inFlight++;
	}

	public synchronized void release() {
		this.inFlight--;
		notifyAll();
	}

	/**
	 * Admits calls again, at the cold limit of a cold engine.
	 */
	public synchronized void open() {
		this.open = true;
	}

	/**
	 * Refuses all new calls until {@link #open}.
	 */
	public synchronized void close() {
		this.open = false;
	}

	/**
	 * Refuses all new calls for good.
	 */
	public synchronized void leave() {
		this.leaving = true;
	}

	public synchronized boolean leaving() {
		return this.leaving;
	}

	public synchronized int inFlight() {
		return this.inFlight;
	}

	/**
	 * Waits until no call runs.
	 * @param timeoutMillis longest wait
	 * @return whether no call runs
	 */
	public synchronized boolean awaitIdle(long timeoutMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (this.inFlight > 0) {
			long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (leftMillis <= 0) {
				return false;
			}
			wait(leftMillis);
		}
		return true;
	}

}
