package org.jaywood.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Keeps a process running until SIGTERM and then drains it. The exit status is 0 when
 * draining succeeded.
 */
final class Daemon {

	private Daemon() {
	}

	/**
	 * Starts a process and keeps it running. SIGTERM is a planned stop also while it
	 * starts, which may take seconds during an outage of the platform.
	 * @param start opens the ports
	 * @param drain finishes the work
	 * @return never normally; the status is set when the process has drained
	 */
	static int run(Runnable start, Drain drain) throws InterruptedException {
		AtomicBoolean failed = new AtomicBoolean();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			if (!failed.get()) {
				// The default status after SIGTERM is 143; a planned stop ends with 0.
				Runtime.getRuntime().halt(drainStatus(drain));
			}
		}, "drain"));
		try {
			start.run();
		}
		catch (RuntimeException ex) {
			failed.set(true);
			throw ex;
		}
		new CountDownLatch(1).await();
		return 0;
	}

	private static int drainStatus(Drain drain) {
		try {
			drain.drain(System.currentTimeMillis());
			return 0;
		}
		catch (Exception ex) {
			return 1;
		}
	}

	/**
	 * Finishes the work of a process.
	 */
	@FunctionalInterface
	interface Drain {

		void drain(long nowMillis) throws Exception;

	}

}
