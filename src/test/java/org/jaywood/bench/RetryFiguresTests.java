package org.jaywood.bench;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a negative retry ratio in the routing experiment. It was computed from
 * the runs at the upstream and the calls, and became negative when calls were refused
 * without an attempt.
 */
class RetryFiguresTests {

	private static final String BEFORE = """
			{"calls.answered": 1000, "calls.not_run": 5, "refused.NO_UPSTREAM": 4, "refused.FULL": 1, "retries": 7}
			""";

	private static RetryFigures between(String after, double seconds) {
		return RetryFigures.between(Json.read(BEFORE, JsonNode.class), Json.read(after, JsonNode.class), seconds);
	}

	@Nested
	class Ratio {

		@Test
		void countsRetriesAgainstFirstAttemptsWhenCallsAreRefusedWithoutAttempt() {
			// 100 calls, 40 of them without an attempt; the upstream sees 75 runs.
			RetryFigures figures = between("""
					{"calls.answered": 1056, "calls.not_run": 45, "calls.unknown": 4, "refused.NO_UPSTREAM": 44,
					"refused.FULL": 1, "retries": 22}
					""", 3);
			assertThat(figures.calls()).isEqualTo(100);
			assertThat(figures.firstAttempts()).isEqualTo(60);
			assertThat(figures.retries()).isEqualTo(15);
			assertThat(figures.ratio()).isWithin(1e-9).of(0.25);
		}

		@Test
		void isZeroWithoutCalls() {
			assertThat(between(BEFORE, 1).ratio()).isEqualTo(0.0);
		}

		@Test
		void countsCallsRefusedAfterAnAttemptAsFirstAttempts() {
			RetryFigures figures = between("""
					{"calls.answered": 1000, "calls.not_run": 15, "refused.NO_UPSTREAM": 4, "refused.FULL": 11,
					"retries": 12}
					""", 1);
			assertThat(figures.firstAttempts()).isEqualTo(10);
			assertThat(figures.ratio()).isWithin(1e-9).of(0.5);
		}

	}

	@Nested
	class Budget {

		@Test
		void consistsOfBurstShareAndFloor() {
			assertThat(new RetryFigures(100, 40, 15, 3).budget()).isWithin(1e-9).of(50 + 20 + 6);
		}

		@Test
		void allowsRetriesUpToItsValueOnly() {
			assertThat(new RetryFigures(100, 0, 76, 3).isWithinBudget()).isTrue();
			assertThat(new RetryFigures(100, 0, 77, 3).isWithinBudget()).isFalse();
		}

	}

}
