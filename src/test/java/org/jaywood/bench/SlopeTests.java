package org.jaywood.bench;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.bench.Slope.Point;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the arithmetic behind docs/CAPACITY.md.
 */
class SlopeTests {

	@Nested
	class Fit {

		@Test
		void findsExactLine() {
			Slope slope = Slope.fit(List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)));
			assertThat(slope.perUnit()).isWithin(1e-9).of(2);
			assertThat(slope.intercept()).isWithin(1e-9).of(3);
			assertThat(slope.at(100)).isWithin(1e-6).of(203);
			assertThat(slope.fit()).isWithin(1e-9).of(1);
		}

		@Test
		void rejectsFewerThanThreeSizes() {
			Failures.thrownBy(IllegalArgumentException.class,
					() -> Slope.fit(List.of(new Point(1, 5), new Point(2, 7), new Point(2, 8))));
		}

	}

}
