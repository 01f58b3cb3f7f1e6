package org.jaywood.agent;

import java.util.List;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a number that is mistaken for another number with the same bit. An
 * attempt could then run twice, or one that has not arrived could be refused.
 */
class AttemptWindowTests {

	private static final int SIZE = 8;

	@Property(tries = 1_000, seed = "1")
	void holdsExactlyTheAddedNumbersInside(
			@ForAll @Size(max = 60) List<@IntRange(min = -SIZE, max = 2 * SIZE) Integer> steps) {
		AttemptWindow window = new AttemptWindow(SIZE);
		TreeSet<Long> expected = new TreeSet<>();
		long highest = 0;
		for (int step : steps) {
			if (step > 0) {
				highest += step;
				window.moveTo(highest);
				expected.headSet(highest - SIZE, true).clear();
			}
			else if (step > -SIZE) {
				window.add(highest + step);
				expected.add(highest + step);
			}
			for (long number = highest - 3 * SIZE; number <= highest + 3 * SIZE; number++) {
				assertThat(window.contains(number)).isEqualTo(expected.contains(number));
			}
		}
	}

	@Test
	void refusesNumbersOutside() {
		AttemptWindow window = new AttemptWindow(SIZE);
		window.moveTo(100);
		assertThat(failure(window, 100 - SIZE)).hasMessageThat().contains("outside the window");
		assertThat(failure(window, 101)).hasMessageThat().contains("outside the window");
	}

	private static IllegalArgumentException failure(AttemptWindow window, long number) {
		return Failures.thrownBy(IllegalArgumentException.class, () -> {
			window.add(number);
			return number;
		});
	}

	/**
	 * Guards against a loop that does not end for a very large number, as only a faulty
	 * peer sends it.
	 */
	@Test
	void movesToTheLargestNumber() {
		AttemptWindow window = new AttemptWindow(SIZE);
		window.add(0);
		window.moveTo(Long.MAX_VALUE - 1);
		window.moveTo(Long.MAX_VALUE);
		assertThat(window.contains(0)).isFalse();
		window.add(Long.MAX_VALUE);
		assertThat(window.contains(Long.MAX_VALUE)).isTrue();
	}

}
