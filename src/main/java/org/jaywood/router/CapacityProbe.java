package org.jaywood.router;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Looks for room at upstreams at a short interval, but only while calls wait. A timer of
 * 25 ms that always runs wakes an idle router 40 times a second.
 */
final class CapacityProbe {

	private final Watchdog timer;

	private final long intervalMillis;

	private final Runnable probe;

	private final BooleanSupplier hasQueuedCalls;

	private final AtomicBoolean scheduled = new AtomicBoolean();

	/**
	 * Creates a probe that is idle until {@link #start}.
	 * @param timer runs the probe
	 * @param intervalMillis interval
	 * @param probe must not block
	 * @param hasQueuedCalls whether calls wait
	 */
	CapacityProbe(Watchdog timer, long intervalMillis, Runnable probe, BooleanSupplier hasQueuedCalls) {
		this.timer = timer;
		this.intervalMillis = intervalMillis;
		this.probe = probe;
		this.hasQueuedCalls = hasQueuedCalls;
	}

	/**
	 * Runs the probe from now on until no call waits. To be called after a call has begun
	 * to wait.
	 */
	void start() {
		if (this.scheduled.compareAndSet(false, true)) {
			this.timer.runAfter(this.intervalMillis, this::run);
		}
	}

	private void run() {
		try {
			this.probe.run();
		}
		finally {
			this.scheduled.set(false);
			// A call that began to wait before the line above found the probe active.
			if (this.hasQueuedCalls.getAsBoolean()) {
				start();
			}
		}
	}

}
