package org.jaywood.replica;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a task that misses a change made before its wait, and so loads a version
 * late.
 */
class ChangeSignalTests {

	private static final long LONG_WAIT_MILLIS = 20_000;

	private final ChangeSignal signal = new ChangeSignal();

	@Test
	void changeBeforeWaitEndsWaitAtOnce() throws Exception {
		long seenCount = this.signal.changeCount();
		this.signal.raise();
		CompletableFuture.runAsync(() -> await(seenCount)).get(LONG_WAIT_MILLIS / 4, TimeUnit.MILLISECONDS);
	}

	@Test
	void changeDuringWaitEndsWait() throws Exception {
		CompletableFuture<Void> waiting = CompletableFuture.runAsync(() -> await(0));
		this.signal.raise();
		waiting.get(LONG_WAIT_MILLIS / 4, TimeUnit.MILLISECONDS);
	}

	@Test
	void waitWithoutChangeTimesOut() throws Exception {
		this.signal.await(this.signal.changeCount(), 1);
		assertThat(this.signal.changeCount()).isEqualTo(0);
	}

	private void await(long seenCount) {
		try {
			this.signal.await(seenCount, LONG_WAIT_MILLIS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
