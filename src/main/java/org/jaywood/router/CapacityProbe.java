package org.jaywood.router;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Probes for capacity at upstreams at a short interval, but only while calls are queued.
 * A 25 ms timer that always runs would wake an idle router 40 times a second.
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
	 * @param hasQueuedCalls whether calls are queued
	 */
	CapacityProbe(Watchdog timer, long intervalMillis, Runnable probe, BooleanSupplier hasQueuedCalls) {
		this.timer = timer;
		this.intervalMillis = intervalMillis;
		this.probe = probe;
		this.hasQueuedCalls = hasQueuedCalls;
	}

	/**
	 * Runs the probe at each interval until no call is queued. Must be called after a
	 * call is queued.
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
			// A call queued before the line above could not start the probe, which was
			// still marked as scheduled.
			if (this.hasQueuedCalls.getAsBoolean()) {
				start();
			}
		}
	}

}
