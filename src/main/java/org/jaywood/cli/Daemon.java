package org.jaywood.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Keeps a process running until SIGTERM and then drains it. The exit status is 0 when
 * draining succeeded.
 */
final class Daemon {

	private Daemon() {
	}

	static int runUntilTerminated(Drain drain) throws InterruptedException {
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			int status = 0;
			try {
				drain.drain(System.currentTimeMillis());
			}
			catch (Exception ex) {
				status = 1;
			}
			stopped.countDown();
			// The default status after SIGTERM is 143; a planned stop ends with 0.
			Runtime.getRuntime().halt(status);
		}, "drain"));
		stopped.await();
		return 0;
	}

	/**
	 * Finishes the work of a process.
	 */
	@FunctionalInterface
	interface Drain {

		void drain(long nowMillis) throws Exception;

	}

}
