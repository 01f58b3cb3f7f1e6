package org.jaywood.weights;

import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against weight traffic above the rate limit of a region link.
 */
class ByteRateLimiterTests {

	@Property(tries = 200, seed = "1")
	void limitsAcquiredBytesToTheRate(@ForAll @IntRange(min = 1_000, max = 1_000_000) int rate,
			@ForAll @IntRange(min = 1, max = 65_536) int bytes, @ForAll @IntRange(min = 1, max = 50) int stepMillis) {
		ByteRateLimiter budget = new ByteRateLimiter();
		long takenBytes = 0;
		long seconds = 20;
		for (long millis = 0; millis < seconds * 1_000; millis += stepMillis) {
			takenBytes += (budget.tryAcquire(bytes, rate, TimeUnit.MILLISECONDS.toNanos(millis)) == 0) ? bytes : 0;
		}
		assertThat(takenBytes).isAtMost(rate * seconds + rate / 10 + bytes);
	}

	@Property(tries = 200, seed = "1")
	void grantsAfterTheReturnedWait(@ForAll @IntRange(min = 1_000, max = 1_000_000) int rate,
			@ForAll @IntRange(min = 1, max = 65_536) int bytes) {
		ByteRateLimiter budget = new ByteRateLimiter();
		budget.tryAcquire(bytes, rate, 0);
		long waitMillis = budget.tryAcquire(bytes, rate, 1);
		assertThat(budget.tryAcquire(bytes, rate, 1 + TimeUnit.MILLISECONDS.toNanos(waitMillis))).isEqualTo(0);
	}

}
