package org.jaywood.gateway;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.RetryBudget;
import org.jaywood.routing.RetryBudgets;

/**
 * What all calls of a gateway share.
 *
 * @param settings settings of the process
 * @param protocol names of the protocol
 * @param dispatcher places of upstreams
 * @param storeCache configuration and fleet
 * @param pool connections to upstreams
 * @param metrics counters and histograms
 * @param errorResponder answers of the gateway itself
 * @param log log of the process
 * @param budgets retry budgets of the services
 */
record GatewayContext(GatewaySettings settings, CallProtocol protocol, Dispatcher dispatcher, StoreCache storeCache,
		ConnectionPool pool, GatewayMetrics metrics, ErrorResponder errorResponder, EventLog log,
		RetryBudgets budgets) {

	static GatewayContext create(GatewaySettings settings, CallProtocol protocol, EventLog log) {
		Dispatcher dispatcher = new Dispatcher(settings.dispatch());
		GatewayMetrics metrics = new GatewayMetrics();
		return new GatewayContext(settings, protocol, dispatcher, new StoreCache(dispatcher, log), new ConnectionPool(),
				metrics, new ErrorResponder(protocol, metrics, log), log,
				new RetryBudgets(settings.retryRatio(), settings.retryWindowExtra(), settings.retryWindowMillis()));
	}

	/**
	 * The part of this gateway of the retries that a service may get.
	 */
	RetryBudget budget(String service) {
		return this.budgets.of(service, BootClock.nowMillis());
	}

	/**
	 * Cuts the retry budgets by the number of gateways as known now.
	 */
	void resizeBudgets(long nowMillis) {
		this.budgets.resize(this.dispatcher.reportedGateways(nowMillis), this.dispatcher.gateways(nowMillis),
				nowMillis);
	}

}
