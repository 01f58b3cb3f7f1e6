package org.jaywood.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.RetryBudget;

/**
 * What all calls of a gateway share.
 *
 * @param settings settings of the process
 * @param protocol names of the protocol
 * @param dispatcher places of upstreams
 * @param knowledge configuration and fleet
 * @param pool connections to upstreams
 * @param metrics counters and histograms
 * @param refusals answers of the gateway itself
 * @param log log of the process
 * @param budgets retry budget of each service
 */
record GatewayContext(GatewaySettings settings, CallProtocol protocol, Dispatcher dispatcher, Knowledge knowledge,
		ConnectionPool pool, GatewayMetrics metrics, Refusals refusals, EventLog log,
		Map<String, RetryBudget> budgets) {

	/** Part of the allowed retries that is used, since windows of gateways differ. */
	private static final double BUDGET_USE = 0.8;

	/** Part of a window's fixed allowance that may be used at once. */
	private static final double BURST_SHARE = 0.5;

	/** Gateways that share a budget while their number is not known. */
	private static final int UNKNOWN_GATEWAYS = 24;

	private static final double MILLIS_PER_SECOND = 1_000;

	static GatewayContext create(GatewaySettings settings, CallProtocol protocol, EventLog log) {
		Dispatcher dispatcher = new Dispatcher(settings.dispatch());
		GatewayMetrics metrics = new GatewayMetrics();
		return new GatewayContext(settings, protocol, dispatcher, new Knowledge(dispatcher, log), new ConnectionPool(),
				metrics, new Refusals(protocol, metrics, log), log, new ConcurrentHashMap<>());
	}

	/**
	 * The part of this gateway of the retries that a service may get.
	 */
	RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (key) -> {
			long nowMillis = BootClock.nowMillis();
			double allowance = allowance(nowMillis);
			return new RetryBudget(BUDGET_USE * this.settings.retryRatio(), floorPerSecond(allowance),
					BURST_SHARE * allowance, nowMillis);
		});
	}

	/**
	 * Cuts the retry budgets by the number of gateways as known now.
	 */
	void resizeBudgets(long nowMillis) {
		double allowance = allowance(nowMillis);
		this.budgets.values().forEach((budget) -> budget.resize(floorPerSecond(allowance), BURST_SHARE * allowance));
	}

	/**
	 * The part of this gateway of the retries that a window allows besides those earned
	 * by calls.
	 */
	private double allowance(long nowMillis) {
		int gateways = this.dispatcher.toldGateways(nowMillis)
			.orElseGet(() -> Math.max(UNKNOWN_GATEWAYS, this.dispatcher.gateways(nowMillis)));
		return BUDGET_USE * this.settings.retryWindowExtra() / gateways;
	}

	private double floorPerSecond(double allowance) {
		return (1 - BURST_SHARE) * allowance * MILLIS_PER_SECOND / this.settings.retryWindowMillis();
	}

}
