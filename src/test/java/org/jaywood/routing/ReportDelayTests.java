package org.jaywood.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against clock offset, clock drift or a reset clock that is taken for a slow
 * link.
 */
class ReportDelayTests {

	private static final long NOW = 10_000_000;

	private final ReportDelay delay = new ReportDelay();

	@Test
	void clockOffsetIsNotADelay() {
		this.delay.onReport(5, NOW);
		this.delay.onReport(105, NOW + 100);
		assertThat(this.delay.millis()).isEqualTo(0);
	}

	@Test
	void laterArrivalThanFastestReportIsADelay() {
		this.delay.onReport(5, NOW);
		this.delay.onReport(105, NOW + 2_100);
		assertThat(this.delay.millis()).isEqualTo(2_000);
	}

	@Test
	void clockDriftIsNotADelay() {
		for (long millis = 0; millis < 36_000_000; millis += 10_000) {
			this.delay.onReport(millis - millis / 10_000, NOW + millis);
		}
		assertThat(this.delay.millis()).isLessThan(100);
	}

	@Test
	void resetClockIsNotADelay() {
		this.delay.onReport(1_000_000, NOW);
		this.delay.onReport(5, NOW + 100);
		assertThat(this.delay.millis()).isEqualTo(0);
	}

}
