package org.jaywood.router;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Ends blocked reads and writes, which have no time limit of their own, by running an
 * action that closes their connection.
 */
final class Watchdog implements AutoCloseable {

	private final ScheduledThreadPoolExecutor timer;

	Watchdog() {
		this.timer = new ScheduledThreadPoolExecutor(1, Thread.ofPlatform().daemon().name("watchdog").factory());
		this.timer.setRemoveOnCancelPolicy(true);
	}

	/**
	 * Runs an action unless the returned guard is closed before.
	 * @param millis delay
	 * @param action must not block
	 */
	Guard runAfter(long millis, Runnable action) {
		ScheduledFuture<?> task = this.timer.schedule(action, Math.max(0, millis), TimeUnit.MILLISECONDS);
		return () -> task.cancel(false);
	}

	/**
	 * Runs an action repeatedly until the returned guard is closed.
	 * @param millis interval
	 * @param action must not block
	 */
	Guard runEvery(long millis, Runnable action) {
		ScheduledFuture<?> task = this.timer.scheduleWithFixedDelay(action, millis, millis, TimeUnit.MILLISECONDS);
		return () -> task.cancel(false);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * Guarded section.
	 */
	@FunctionalInterface
	interface Guard extends AutoCloseable {

		@Override
		void close();

	}

}
