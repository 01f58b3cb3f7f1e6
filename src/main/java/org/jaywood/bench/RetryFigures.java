package org.jaywood.bench;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Number of retries of one router in a period, compared with its retry budget.
 *
 * @param calls calls that ended at the router
 * @param refusedWithoutAttempt number of these calls that the router refused without an
 * attempt at any agent
 * @param retries further attempts that the router charged to its retry budget
 * @param seconds length of the period
 */
record RetryFigures(long calls, long refusedWithoutAttempt, long retries, double seconds) {

	/**
	 * Retry budget as a share of the calls. This and the two following constants repeat
	 * the values of {@code RouterLimits.DEFAULT} and the burst of {@code Router}, since
	 * neither the state dump nor the metrics of a router show them.
	 */
	private static final double BUDGET_RATIO = 0.2;

	private static final double BUDGET_FLOOR_PER_SECOND = 2;

	private static final double BUDGET_BURST = 50;

	/**
	 * Metric of calls for which no agent could be selected, so that no attempt was made.
	 */
	private static final String NO_UPSTREAM = "refused.NO_UPSTREAM";

	private static final String CALLS_PREFIX = "calls.";

	/**
	 * Returns the figures of the period between two state dumps of a router.
	 * @param before field {@code metrics} of the dump at the start of the period
	 * @param after field {@code metrics} of the dump at the end, when no call runs
	 * @param seconds time between them
	 */
	static RetryFigures between(JsonNode before, JsonNode after, double seconds) {
		return new RetryFigures(calls(after) - calls(before), increase(before, after, NO_UPSTREAM),
				increase(before, after, "retries"), seconds);
	}

	private static long calls(JsonNode metrics) {
		return metrics.properties()
			.stream()
			.filter((field) -> field.getKey().startsWith(CALLS_PREFIX))
			.mapToLong((field) -> field.getValue().asLong())
			.sum();
	}

	private static long increase(JsonNode before, JsonNode after, String name) {
		return after.path(name).asLong() - before.path(name).asLong();
	}

	/**
	 * Returns the number of calls with at least one attempt.
	 */
	long firstAttempts() {
		return this.calls - this.refusedWithoutAttempt;
	}

	/**
	 * Returns the retries for each first attempt. Calls without an attempt are not
	 * counted, since they would lower the ratio of the others.
	 */
	double ratio() {
		return (double) this.retries / Math.max(1, firstAttempts());
	}

	/**
	 * Returns the highest number of retries that the budget allows in the period: the
	 * burst saved up before, the share of the calls and the floor for the seconds.
	 */
	double budget() {
		return BUDGET_BURST + BUDGET_RATIO * this.calls + BUDGET_FLOOR_PER_SECOND * this.seconds;
	}

	boolean isWithinBudget() {
		return this.retries <= budget();
	}

	Map<String, Object> toMap() {
		Map<String, Object> map = new LinkedHashMap<>();
		map.put("calls", this.calls);
		map.put("firstAttempts", firstAttempts());
		map.put("retries", this.retries);
		map.put("ratio", ratio());
		map.put("budget", budget());
		map.put("budgetKept", isWithinBudget());
		return map;
	}

}
