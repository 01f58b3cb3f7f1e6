package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.store.PlatformException;

/**
 * Holds a slot of this agent: renews it while it is needed and gives it back. A failure
 * of the platform delays the return until the next renewal or the end of the lease.
 */
final class ActivationSlotLease {

	/** An engine that gets no calls never turns warm and must not keep its slot. */
	private static final long COLD_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final ActivationSlots slots;

	private final long renewMillis;

	private final EventLog log;

	private boolean held;

	private boolean wanted;

	private int surge = 1;

	private long loadedNanos;

	ActivationSlotLease(ActivationSlots slots, long renewMillis, EventLog log) {
		this.slots = slots;
		this.renewMillis = renewMillis;
		this.log = log;
	}

	/**
	 * Takes a slot.
	 * @return whether it is held
	 * @throws PlatformException if the platform does not answer
	 */
	synchronized boolean acquire(int limit, long nowNanos) {
		this.surge = limit;
		this.wanted = true;
		if (!this.held) {
			this.held = this.slots.acquire(limit, nowNanos);
		}
		return this.held;
	}

	synchronized void loaded(long nowNanos) {
		this.loadedNanos = nowNanos;
	}

	/**
	 * Gives the slot back if the engine is warm or got no calls to turn warm.
	 */
	synchronized void releaseIfDone(boolean warm, long nowNanos) {
		if (this.wanted && (warm || nowNanos - this.loadedNanos > COLD_NANOS)) {
			release(nowNanos);
		}
	}

	/**
	 * Gives the slot back. It is also done when this side holds none, because a lost
	 * reply may have left one.
	 */
	synchronized void release(long nowNanos) {
		this.wanted = false;
		this.held = true;
		step(nowNanos);
	}

	/**
	 * Renews or returns the slot until interrupted.
	 */
	void run() throws InterruptedException {
		while (true) {
			TimeUnit.MILLISECONDS.sleep(this.renewMillis);
			step(System.nanoTime());
		}
	}

	private synchronized void step(long nowNanos) {
		if (!this.held) {
			return;
		}
		try {
			if (this.wanted) {
				this.held = this.slots.acquire(this.surge, nowNanos);
			}
			else {
				for (int attempt = 0; this.held && attempt < 5; attempt++) {
					this.held = !this.slots.release(nowNanos);
				}
			}
		}
		catch (PlatformException ex) {
			this.log.log(Event.ACTIVATION_WAITING, "reason", ex);
		}
	}

}
