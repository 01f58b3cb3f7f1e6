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
	private static final long MAX_COLD_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final ActivationSlots slots;

	private final long renewIntervalMillis;

	private final EventLog log;

	private boolean slotHeld;

	private boolean slotNeeded;

	private int surge = 1;

	private long loadedNanos;

	ActivationSlotLease(ActivationSlots slots, long renewIntervalMillis, EventLog log) {
		this.slots = slots;
		this.renewIntervalMillis = renewIntervalMillis;
		this.log = log;
	}

	/**
	 * Takes a slot.
	 * @return whether it is held
	 * @throws PlatformException if the platform does not answer
	 */
	synchronized boolean acquire(int maxSlots, long nowNanos) {
		this.surge = maxSlots;
		this.slotNeeded = true;
		if (!this.slotHeld) {
			this.slotHeld = this.slots.acquire(maxSlots, nowNanos);
		}
		return this.slotHeld;
	}

	synchronized void onLoaded(long nowNanos) {
		this.loadedNanos = nowNanos;
	}

	/**
	 * Gives the slot back if the engine is warm or got no calls to turn warm.
	 */
	synchronized void releaseIfDone(boolean warm, long nowNanos) {
		if (this.slotNeeded && (warm || nowNanos - this.loadedNanos > MAX_COLD_NANOS)) {
			release(nowNanos);
		}
	}

	/**
	 * Gives the slot back. It is also done when this side holds none, because a lost
	 * reply may have left one.
	 */
	synchronized void release(long nowNanos) {
		this.slotNeeded = false;
		this.slotHeld = true;
		renewOrRelease(nowNanos);
	}

	/**
	 * Renews or returns the slot until interrupted.
	 */
	void run() throws InterruptedException {
		while (true) {
			TimeUnit.MILLISECONDS.sleep(this.renewIntervalMillis);
			renewOrRelease(System.nanoTime());
		}
	}

	private synchronized void renewOrRelease(long nowNanos) {
		if (!this.slotHeld) {
			return;
		}
		try {
			if (this.slotNeeded) {
				this.slotHeld = this.slots.acquire(this.surge, nowNanos);
			}
			else {
				for (int attempt = 0; this.slotHeld && attempt < 5; attempt++) {
					this.slotHeld = !this.slots.release(nowNanos);
				}
			}
		}
		catch (PlatformException ex) {
			this.log.log(Event.ACTIVATION_WAITING, "reason", ex);
		}
	}

}
