package org.jaywood.routing;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StallDetectorTests {

	private static final long NOW_MILLIS = 100_000;

	private final StallDetector detector = new StallDetector();

	/**
	 * Guards against running calls of callers who left during a stall of the process.
	 */
	@Nested
	class Stalls {

		@Test
		void aProcessThatHasJustStartedIsNotStalled() {
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW_MILLIS)).isFalse();
		}

		@Test
		void timelyTicksAreNoStall() {
			StallDetectorTests.this.detector.tick(NOW_MILLIS);
			StallDetectorTests.this.detector.tick(NOW_MILLIS + 40);
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW_MILLIS + 80)).isFalse();
		}

		@Test
		void aStallIsDetectedBeforeAndAfterTheNextTick() {
			StallDetectorTests.this.detector.tick(NOW_MILLIS);
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW_MILLIS + 700)).isTrue();
			StallDetectorTests.this.detector.tick(NOW_MILLIS + 700);
			assertThat(StallDetectorTests.this.detector.recentlyStalled(NOW_MILLIS + 710)).isTrue();
		}

	}

}
