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
		int retries = 0;
		for (int i = 0; i < calls; i++) {
			budget.recordCall();
			retries += budget.tryAcquire((long) millis * i / Math.max(1, calls)) ? 1 : 0;
		}
		assertThat((double) retries).isAtMost(10 + 0.2 * calls + 2 * millis / 1_000.0);
	}

	@Property(tries = 200, seed = "2")
	void retriesOfAllGatewaysStayWithinTotalWhenGatewaysJoin(@ForAll @IntRange(min = 1, max = 40) int initialGateways,
			@ForAll @IntRange(min = 1, max = 40) int joinedGateways,
			@ForAll @IntRange(min = 0, max = 10_000) int millis) {
		double total = 100;
		List<RetryBudget> budgets = IntStream.range(0, initialGateways)
			.mapToObj((number) -> new RetryBudget(0, 0, total / initialGateways, 0))
			.collect(Collectors.toList());
		int allGateways = initialGateways + joinedGateways;
		budgets.forEach((budget) -> budget.resize(0, total / allGateways));
		IntStream.range(0, joinedGateways)
			.forEach((number) -> budgets.add(new RetryBudget(0, 0, total / allGateways, millis)));
		int retries = 0;
		for (RetryBudget budget : budgets) {
			while (budget.tryAcquire(millis)) {
				retries++;
			}
		}
		assertThat((double) retries).isAtMost(total);
	}

}
