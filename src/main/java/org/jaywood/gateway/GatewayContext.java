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
			double allowance = BUDGET_USE * this.settings.retryWindowExtra() / this.settings.maxGateways();
			double windowSeconds = this.settings.retryWindowMillis() / MILLIS_PER_SECOND;
			return new RetryBudget(BUDGET_USE * this.settings.retryRatio(),
					(1 - BURST_SHARE) * allowance / windowSeconds, BURST_SHARE * allowance, nowMillis);
		});
	}

}
