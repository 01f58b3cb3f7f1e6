package org.jaywood.bench;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Retries of one router in a period, compared with its retry budget.
 *
 * @param calls calls that ended at the router
 * @param refusedWithoutAttempt calls among them that the router refused without a
 * hand-over to any agent
 * @param retries further hand-overs that the router took out of its budget
 * @param seconds length of the period
 */
record RetryFigures(long calls, long refusedWithoutAttempt, long retries, double seconds) {

	/**
	 * Budget of a router: the values of {@code RouterLimits.DEFAULT} and the burst of
	 * {@code Router}, which neither the state dump nor the metrics of a router show.
	 */
	private static final double BUDGET_RATIO = 0.2;

	private static final double BUDGET_FLOOR_PER_SECOND = 2;

	private static final double BUDGET_BURST = 50;

	/** Reason of a call for which no agent could be chosen, so that none was tried. */
	private static final String NO_UPSTREAM = "refused.NO_UPSTREAM";

	private static final String CALLS_PREFIX = "calls.";

	/**
	 * Figures of the period between two state dumps of a router.
	 * @param before field {@code metrics} of the dump at the begin
	 * @param after the same at the end, when no call runs
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
	 * Calls that the router handed over at least once.
	 */
	long firstAttempts() {
		return this.calls - this.refusedWithoutAttempt;
	}

	/**
	 * Retries for each first attempt. Calls that no agent received are left out, since
	 * they would hide the retries of the others.
	 */
	double ratio() {
		return (double) this.retries / Math.max(1, firstAttempts());
	}

	/**
	 * Most retries that the budget allows in the period: what was saved up before, what
	 * the calls earned and what the floor added.
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
