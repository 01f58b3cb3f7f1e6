package org.jaywood.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runner of a process that works until SIGTERM and is then drained. The exit status is 0
 * if draining succeeded, otherwise 1.
 */
final class Daemon {

	private Daemon() {
	}

	/**
	 * Starts a process and keeps it running. SIGTERM causes a graceful shutdown also
	 * during the start, which may take seconds in an outage of the platform.
	 * @param start code that opens the ports
	 * @param drain code that finishes the work
	 * @return never normally; the shutdown hook ends the process with the exit status
	 */
	static int run(Runnable start, Drain drain) throws InterruptedException {
		AtomicBoolean failed = new AtomicBoolean();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			if (!failed.get()) {
				// The default exit status after SIGTERM is 143; a graceful shutdown must
				// end with 0.
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
	 * Code that finishes the work of a process.
	 */
	@FunctionalInterface
	interface Drain {

		void drain(long nowMillis) throws Exception;

	}

}
