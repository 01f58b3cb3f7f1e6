package org.jaywood.gateway;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StallDetectorTests {

	private static final long NOW = 100_000;

	private final StallDetector detector = new StallDetector();

	/**
	 * Guards against calls of callers that left during a pause of the process.
	 */
	@Nested
	class Stalls {

		@Test
		void aProcessThatHasJustStartedIsNotStalled() {
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW)).isFalse();
		}

		@Test
		void ticksInTimeAreNoStall() {
			StallDetectorTests.this.detector.tick(NOW);
			StallDetectorTests.this.detector.tick(NOW + 40);
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW + 80)).isFalse();
		}

		@Test
		void aPauseIsSeenBeforeAndAfterTheNextTick() {
			StallDetectorTests.this.detector.tick(NOW);
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW + 700)).isTrue();
			StallDetectorTests.this.detector.tick(NOW + 700);
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW + 710)).isTrue();
		}

	}

}
