package org.jaywood.routing;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against retries that multiply the load of a failing installation.
 */
class RetryBudgetTests {

	@Property(tries = 200, seed = "1")
	void retriesStayWithinShareFloorAndBurst(@ForAll @IntRange(min = 0, max = 2_000) int calls,
			@ForAll @IntRange(min = 0, max = 10_000) int millis) {
		RetryBudget budget = new RetryBudget(0.2, 2, 10, 0);
		int taken = 0;
		for (int i = 0; i < calls; i++) {
			budget.recordCall();
			taken += budget.tryAcquire((long) millis * i / Math.max(1, calls)) ? 1 : 0;
		}
		assertThat((double) taken).isAtMost(10 + 0.2 * calls + 2 * millis / 1_000.0);
	}

	@Property(tries = 200, seed = "2")
	void partsOfAllGatewaysStayWithinTheWholeWhileSomeJoin(@ForAll @IntRange(min = 1, max = 40) int before,
			@ForAll @IntRange(min = 1, max = 40) int joined, @ForAll @IntRange(min = 0, max = 10_000) int millis) {
		double whole = 100;
		List<RetryBudget> budgets = IntStream.range(0, before)
			.mapToObj((number) -> new RetryBudget(0, 0, whole / before, 0))
			.collect(Collectors.toList());
		int after = before + joined;
		budgets.forEach((budget) -> budget.resize(0, whole / after));
		IntStream.range(0, joined).forEach((number) -> budgets.add(new RetryBudget(0, 0, whole / after, millis)));
		int taken = 0;
		for (RetryBudget budget : budgets) {
			while (budget.tryAcquire(millis)) {
				taken++;
			}
		}
		assertThat((double) taken).isAtMost(whole);
	}

}
