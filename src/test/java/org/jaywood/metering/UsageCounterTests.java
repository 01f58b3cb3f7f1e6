package org.jaywood.metering;

import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that fall into the wrong window or vanish without being counted as
 * dropped, and against a leader or a store that gets the counts too rarely or too often.
 */
class UsageCounterTests {

	@Nested
	class Counting {

		private final UsageCounter counter = new UsageCounter(new UsageWindows(5_000, 10_000));

		@Test
		void countsByWindowAndWorkspaceUntilTheSeal() {
			this.counter.record("a", 4_999);
			this.counter.record("a", 5_000);
			this.counter.record("b", 5_001);
			Map<Long, Map<String, Long>> counts = this.counter.counts();
			assertThat(counts).isEqualTo(Map.of(0L, Map.of("a", 1L), 1L, Map.of("a", 1L, "b", 1L)));
			this.counter.onReported(counts, 0);
			assertThat(this.counter.counts().keySet()).containsExactly(1L);
		}

		@Test
		void callsAfterTheSealAreDroppedAndCounted() {
			this.counter.record("a", 1);
			this.counter.onReported(this.counter.counts(), -1);
			this.counter.record("a", 2);
			this.counter.onReported(this.counter.counts(), 0);
			this.counter.record("a", 3);
			assertThat(this.counter.dropped()).isEqualTo(2);
		}

		@Test
		void windowsAndWorkspacesAreBounded() {
			for (int number = 0; number < 5_000; number++) {
				this.counter.record("w" + number, 1);
			}
			assertThat(this.counter.counts().get(0L)).hasSize(UsageWindows.MAX_WORKSPACES);
			for (int window = 1; window < 20; window++) {
				this.counter.record("a", window * 5_000L);
			}
			assertThat(this.counter.counts()).hasSize(UsageWindows.MAX_WINDOWS);
			assertThat(this.counter.dropped()).isEqualTo(5_000 + 19 - UsageWindows.MAX_WINDOWS);
		}

	}

	@Nested
	class Reporting {

		private final UsageReporter reporter = new UsageReporter(0, 0);

		@Test
		void reportsMoreThanTwiceASecond() {
			assertThat(this.reporter.takeReport(0, 349)).isFalse();
			assertThat(this.reporter.takeReport(0, 350)).isTrue();
			assertThat(this.reporter.takeReport(0, 699)).isFalse();
		}

		/**
		 * Guards against counts of an ended window that only its gateway has.
		 */
		@Test
		void reportsRightAfterTheEndOfAWindow() {
			assertThat(this.reporter.takeReport(0, 350)).isTrue();
			assertThat(this.reporter.takeReport(1, 450)).isTrue();
			assertThat(this.reporter.takeReport(1, 550)).isFalse();
		}

		@Test
		void writesIntoTheStoreOnlyWhileTheLeaderIsNotReached() {
			this.reporter.onConfirmed(600);
			assertThat(this.reporter.takeFallback(1_599)).isFalse();
			assertThat(this.reporter.takeFallback(1_600)).isTrue();
			assertThat(this.reporter.takeFallback(3_099)).isFalse();
			assertThat(this.reporter.takeFallback(3_100)).isTrue();
			this.reporter.onConfirmed(4_000);
			assertThat(this.reporter.takeFallback(4_600)).isFalse();
		}

	}

	/**
	 * A clock that is stepped for less than half a minute must not move the windows.
	 */
	@Nested
	class Time {

		@Test
		void stepOfTheClockAndBackDoesNotMoveTheTrueTime() {
			TrueTime time = new TrueTime(0, 1_000_000);
			for (int second = 1; second <= 200; second++) {
				long stepMillis = (second >= 100 && second < 125) ? 4_000 : 0;
				time.sample(second * 1_000L, 1_000_000 + second * 1_000L + stepMillis);
				assertThat(time.at(second * 1_000L)).isEqualTo(1_000_000 + second * 1_000L);
			}
		}

		@Test
		void lastingStepIsFollowed() {
			TrueTime time = new TrueTime(0, 1_000_000);
			for (int second = 1; second <= 200; second++) {
				time.sample(second * 1_000L, 1_000_000 + second * 1_000L + ((second >= 100) ? 4_000 : 0));
			}
			assertThat(time.at(200_000)).isEqualTo(1_204_000);
		}

	}

}
