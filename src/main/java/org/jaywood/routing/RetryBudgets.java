package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Share of one gateway in the retries that each service may receive. The retries that a
 * window allows in addition to those earned by calls are divided by the number of
 * gateways. Safe for use by several threads.
 */
public final class RetryBudgets {

	/**
	 * Share of the allowed retries that is used, since the windows of gateways differ.
	 */
	private static final double USED_SHARE = 0.8;

	/** Share of the allowance of a window that may be used at once. */
	private static final double BURST_SHARE = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final double ratio;

	private final double extraRetriesPerWindow;

	private final long windowMillis;

	private final BudgetDivisor budgetDivisor;

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	/** Retries of this gateway in a window besides those earned by calls. */
	private double windowAllowance;

	/**
	 * Creates the budgets of a gateway.
	 * @param ratio retries allowed for each call of a service
	 * @param extraRetriesPerWindow further retries allowed in a window, for all gateways
	 * together
	 * @param windowMillis length of that window
	 */
	public RetryBudgets(double ratio, double extraRetriesPerWindow, long windowMillis) {
		this.ratio = ratio;
		this.extraRetriesPerWindow = extraRetriesPerWindow;
		this.windowMillis = windowMillis;
		this.budgetDivisor = new BudgetDivisor(windowMillis);
		this.windowAllowance = windowAllowance(OptionalInt.empty(), 0, 0);
	}

	/**
	 * Returns the budget of a service.
	 */
	public synchronized RetryBudget of(String service, long nowMillis) {
		return this.budgets.computeIfAbsent(service, (key) -> RetryBudget.forNewProcess(USED_SHARE * this.ratio,
				floorPerSecond(), BURST_SHARE * this.windowAllowance, nowMillis));
	}

	/**
	 * Adapts the budgets to the present number of gateways.
	 * @param reported number of gateways that agents report, empty while none does
	 * @param lastReported number of gateways last known
	 */
	public synchronized void resize(OptionalInt reported, int lastReported, long nowMillis) {
		this.windowAllowance = windowAllowance(reported, lastReported, nowMillis);
		this.budgets.values().forEach((budget) -> budget.resize(floorPerSecond(), BURST_SHARE * this.windowAllowance));
	}

	private double windowAllowance(OptionalInt reported, int lastReported, long nowMillis) {
		return USED_SHARE * this.extraRetriesPerWindow / this.budgetDivisor.divisor(reported, lastReported, nowMillis);
	}

	private double floorPerSecond() {
		return (1 - BURST_SHARE) * this.windowAllowance * MILLIS_PER_SECOND / this.windowMillis;
	}

}
