package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.store.PlatformException;

/**
 * Holds an activation slot of this agent: renews it while it is needed, then releases it.
 * A failure of the platform delays the release until the next renewal or the end of the
 * lease.
 */
final class ActivationSlotLease {

	/**
	 * Longest time after a load for which a cold engine keeps its slot. Without calls it
	 * never turns warm.
	 */
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
	 * Acquires a slot unless one is held.
	 * @param maxSlots surge limit of the service
	 * @return whether a slot is held
	 * @throws PlatformException if the platform does not respond
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
	 * Releases the slot if the engine is warm or has stayed cold for too long.
	 */
	synchronized void releaseIfDone(boolean warm, long nowNanos) {
		if (this.slotNeeded && (warm || nowNanos - this.loadedNanos > MAX_COLD_NANOS)) {
			release(nowNanos);
		}
	}

	/**
	 * Releases the slot. It is also released if this agent holds none, because a write
	 * whose response was lost may have acquired one.
	 */
	synchronized void release(long nowNanos) {
		this.slotNeeded = false;
		this.slotHeld = true;
		renewOrRelease(nowNanos);
	}

	/**
	 * Renews or releases the slot periodically until interrupted.
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
