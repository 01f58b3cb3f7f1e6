package org.jaywood.gateway;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StallWatchTests {

	private static final long NOW = 100_000;

	private final StallWatch watch = new StallWatch();

	/**
	 * Guards against calls of callers that left during a pause of the process.
	 */
	@Nested
	class Pauses {

		@Test
		void aProcessThatHasJustStartedIsNotStalled() {
			assertThat(StallWatchTests.this.watch.stalledLately(NOW)).isFalse();
		}

		@Test
		void ticksInTimeAreNoStall() {
			StallWatchTests.this.watch.tick(NOW);
			StallWatchTests.this.watch.tick(NOW + 40);
			assertThat(StallWatchTests.this.watch.stalledLately(NOW + 80)).isFalse();
		}

		@Test
		void aPauseIsSeenBeforeAndAfterTheNextTick() {
			StallWatchTests.this.watch.tick(NOW);
			assertThat(StallWatchTests.this.watch.stalledLately(NOW + 700)).isTrue();
			StallWatchTests.this.watch.tick(NOW + 700);
			assertThat(StallWatchTests.this.watch.stalledLately(NOW + 710)).isTrue();
		}

	}

}
