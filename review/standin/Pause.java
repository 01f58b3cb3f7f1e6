package review;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits on the real clock.
 */
final class Pause {

	private static final long POLL_MILLIS = 5;

	private Pause() {
	}

	static void seconds(double seconds) {
		nanos(Math.round(seconds * 1e9));
	}

	static void nanos(long nanos) {
		try {
			TimeUnit.NANOSECONDS.sleep(nanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits for a condition.
	 * @throws CannotRunException if it does not hold in time
	 */
	static void until(String what, double maxSeconds, BooleanSupplier condition) {
		long endNanos = System.nanoTime() + Math.round(maxSeconds * 1e9);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > endNanos) {
				throw new CannotRunException("not within " + maxSeconds + " s: " + what);
			}
			nanos(POLL_MILLIS * 1_000_000);
		}
	}

}
