package org.jaywood.router;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.jaywood.event.EventLog;
import org.jaywood.event.TaskGuard;

/**
 * Timer for reads and writes that have no time-out of their own: its actions close the
 * connection of a blocked one.
 */
final class Watchdog implements AutoCloseable {

	private final ScheduledThreadPoolExecutor timer;

	private final TaskGuard guard;

	Watchdog(EventLog log) {
		this.guard = new TaskGuard("watchdog", log);
		this.timer = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().name("watchdog").factory());
		this.timer.setRemoveOnCancelPolicy(true);
	}

	/**
	 * Runs an action after a delay unless the returned guard is closed first.
	 * @param millis delay
	 * @param action must not block
	 */
	Guard runAfter(long millis, Runnable action) {
		ScheduledFuture<?> task = this.timer.schedule(() -> this.guard.run(action), Math.max(0, millis),
				TimeUnit.MILLISECONDS);
		return () -> task.cancel(false);
	}

	/**
	 * Runs an action repeatedly until the returned guard is closed.
	 * @param millis interval
	 * @param action must not block
	 */
	Guard runEvery(long millis, Runnable action) {
		ScheduledFuture<?> task = this.timer.scheduleWithFixedDelay(() -> this.guard.run(action), millis, millis,
				TimeUnit.MILLISECONDS);
		return () -> task.cancel(false);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * Cancels the action when closed.
	 */
	@FunctionalInterface
	interface Guard extends AutoCloseable {

		@Override
		void close();

	}

}
