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

	private static final int SIZE_ATTEMPTS = 8;

	@Property(tries = 1_000, seed = "1")
	void containsExactlyAddedNumbersWithinWindow(
			@ForAll @Size(max = 60) List<@IntRange(min = -SIZE_ATTEMPTS, max = 2 * SIZE_ATTEMPTS) Integer> steps) {
		AttemptWindow window = new AttemptWindow(SIZE_ATTEMPTS);
		TreeSet<Long> expected = new TreeSet<>();
		long highest = 0;
		for (int step : steps) {
			if (step > 0) {
				highest += step;
				window.moveTo(highest);
				expected.headSet(highest - SIZE_ATTEMPTS, true).clear();
			}
			else if (step > -SIZE_ATTEMPTS) {
				window.add(highest + step);
				expected.add(highest + step);
			}
			for (long number = highest - 3 * SIZE_ATTEMPTS; number <= highest + 3 * SIZE_ATTEMPTS; number++) {
				assertThat(window.contains(number)).isEqualTo(expected.contains(number));
			}
		}
	}

	@Test
	void addOutsideWindowIsRejected() {
		AttemptWindow window = new AttemptWindow(SIZE_ATTEMPTS);
		window.moveTo(100);
		assertThat(failure(window, 100 - SIZE_ATTEMPTS)).hasMessageThat().contains("outside the window");
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
	void movesToLargestNumberAtOnce() {
		AttemptWindow window = new AttemptWindow(SIZE_ATTEMPTS);
		window.add(0);
		window.moveTo(Long.MAX_VALUE - 1);
		window.moveTo(Long.MAX_VALUE);
		assertThat(window.contains(0)).isFalse();
		window.add(Long.MAX_VALUE);
		assertThat(window.contains(Long.MAX_VALUE)).isTrue();
	}

}
