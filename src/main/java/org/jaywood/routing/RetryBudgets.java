package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The part of one gateway of the retries that each service may get. What a window allows
 * beside the calls is cut by the number of gateways. Safe for use by several threads.
 */
public final class RetryBudgets {

	/** Part of the allowed retries that is used, since windows of gateways differ. */
	private static final double USE = 0.8;

	/** Part of a window's fixed allowance that may be used at once. */
	private static final double BURST_SHARE = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final double ratio;

	private final double windowExtra;

	private final long windowMillis;

	private final BudgetDivisor sharing;

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	/** Retries of this gateway in a window besides those earned by calls. */
	private double allowance;

	/**
	 * Creates the budgets of a gateway.
	 * @param ratio retries allowed for each call of a service
	 * @param windowExtra retries allowed besides in a window, of all gateways together
	 * @param windowMillis length of that window
	 */
	public RetryBudgets(double ratio, double windowExtra, long windowMillis) {
		this.ratio = ratio;
		this.windowExtra = windowExtra;
		this.windowMillis = windowMillis;
		this.sharing = new BudgetDivisor(windowMillis);
		this.allowance = allowance(OptionalInt.empty(), 0, 0);
	}

	/**
	 * The budget of a service.
	 */
	public synchronized RetryBudget of(String service, long nowMillis) {
		return this.budgets.computeIfAbsent(service, (key) -> RetryBudget.started(USE * this.ratio, floorPerSecond(),
				BURST_SHARE * this.allowance, nowMillis));
	}

	/**
	 * Cuts the budgets by the number of gateways as known now.
	 * @param told number of gateways as the agents tell it, empty while none does
	 * @param last number of gateways as last known
	 */
	public synchronized void resize(OptionalInt told, int last, long nowMillis) {
		this.allowance = allowance(told, last, nowMillis);
		this.budgets.values().forEach((budget) -> budget.resize(floorPerSecond(), BURST_SHARE * this.allowance));
	}

	private double allowance(OptionalInt told, int last, long nowMillis) {
		return USE * this.windowExtra / this.sharing.count(told, last, nowMillis);
	}

	private double floorPerSecond() {
		return (1 - BURST_SHARE) * this.allowance * MILLIS_PER_SECOND / this.windowMillis;
	}

}
