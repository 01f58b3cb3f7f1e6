package org.jaywood.router;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a waiting call that no probe serves and against probes of an idle
 * router.
 */
class CapacityProbeTests {

	private static final long TIMEOUT_SECONDS = 10;

	private final Watchdog timer = new Watchdog();

	@AfterEach
	void close() {
		this.timer.close();
	}

	@Test
	void runsOnlyWhileCallsWait() throws InterruptedException {
		AtomicInteger left = new AtomicInteger(3);
		AtomicInteger runs = new AtomicInteger();
		CountDownLatch third = new CountDownLatch(3);
		CapacityProbe probe = new CapacityProbe(this.timer, 1, () -> {
			runs.incrementAndGet();
			left.decrementAndGet();
			third.countDown();
		}, () -> left.get() > 0);
		probe.start();
		assertThat(third.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		// The timer has one thread, so a fourth run would come before this action.
		CountDownLatch later = new CountDownLatch(1);
		this.timer.after(50, later::countDown);
		assertThat(later.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(runs.get()).isEqualTo(3);
		left.set(1);
		probe.start();
		CountDownLatch again = new CountDownLatch(1);
		this.timer.after(50, again::countDown);
		assertThat(again.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(runs.get()).isEqualTo(4);
	}

	/**
	 * Guards the call that begins to wait while the last run of the probe ends.
	 */
	@Test
	void servesCallsThatBeginToWaitDuringARun() throws InterruptedException {
		AtomicBoolean waiting = new AtomicBoolean();
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch served = new CountDownLatch(2);
		CapacityProbe probe = new CapacityProbe(this.timer, 1, () -> {
			started.countDown();
			awaitQuietly(arrived);
			served.countDown();
		}, () -> waiting.getAndSet(false));
		probe.start();
		assertThat(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		waiting.set(true);
		probe.start();
		arrived.countDown();
		assertThat(served.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
	}

	/**
	 * Guards calls that wait after a probe that failed.
	 */
	@Test
	void goesOnAfterAFailure() throws InterruptedException {
		CountDownLatch served = new CountDownLatch(2);
		CapacityProbe probe = new CapacityProbe(this.timer, 1, () -> {
			served.countDown();
			throw new IllegalStateException("test");
		}, () -> served.getCount() > 0);
		probe.start();
		assertThat(served.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
