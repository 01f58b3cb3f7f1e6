package org.jaywood.gateway;

import org.jaywood.event.EventLog;
import org.jaywood.feed.BootClock;
import org.jaywood.http.ConnectionPool;
import org.jaywood.routing.CrashEvidence;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.PartScreen;
import org.jaywood.routing.RetryBudget;
import org.jaywood.routing.RetryBudgets;
import org.jaywood.wire.MemoryBudget;

/**
 * Objects that all calls of a gateway share.
 *
 * @param settings settings of the process
 * @param protocol reads and writes the headers of calls
 * @param dispatcher places calls on upstreams
 * @param storeCache objects of the store
 * @param pool connections to upstreams
 * @param metrics counters and histograms
 * @param errorResponder sends the responses of the gateway itself
 * @param log log of the process
 * @param budgets retry budgets of the services
 * @param screen keeps calls from being sent that crash engines
 * @param notices acts on what upstreams say about themselves
 * @param evidenceExchange exchanges with agents what the screen knows
 * @param memory memory that the process holds for others
 * @param meter counts the calls that have begun to run
 * @param demandMeter counts calls for the number of engines
 */
record GatewayContext(GatewaySettings settings, CallProtocol protocol, Dispatcher dispatcher, StoreCache storeCache,
		ConnectionPool pool, GatewayMetrics metrics, ErrorResponder errorResponder, EventLog log, RetryBudgets budgets,
		PartScreen screen, NoticeHandler notices, EvidenceExchange evidenceExchange, MemoryBudget memory,
		CallMeter meter, DemandMeter demandMeter) {

	static GatewayContext create(GatewaySettings settings, CallProtocol protocol, EventLog log) {
		return create(settings, protocol, new GatewayMetrics(), CallMeter.NONE, log);
	}

	static GatewayContext create(GatewaySettings settings, CallProtocol protocol, GatewayMetrics metrics,
			CallMeter meter, EventLog log) {
		Dispatcher dispatcher = new Dispatcher(settings.dispatch());
		MemoryBudget memory = new MemoryBudget(settings.limits().memory());
		metrics.registerMemory(memory);
		CrashEvidence evidence = new CrashEvidence();
		return new GatewayContext(settings, protocol, dispatcher,
				new StoreCache(dispatcher, settings.dispatch().lapseGraceMillis(), log), new ConnectionPool(memory),
				metrics, new ErrorResponder(protocol, metrics, log), log,
				new RetryBudgets(settings.retryRatio(), settings.retryWindowExtra(), settings.retryWindowMillis()),
				new PartScreen(evidence, new ScreenLog(log, metrics)), new NoticeHandler(dispatcher, metrics, log),
				new EvidenceExchange(evidence), memory, meter, new DemandMeter());
	}

	/**
	 * Returns this gateway's share of the retry budget of a service.
	 */
	RetryBudget budget(String service) {
		return this.budgets.of(service, BootClock.nowMillis());
	}

	/**
	 * Divides the retry budgets by the present number of gateways.
	 */
	void resizeBudgets(long nowMillis) {
		this.budgets.resize(this.dispatcher.reportedGateways(nowMillis),
				this.dispatcher.lastReportedGateways(nowMillis), nowMillis);
	}

}
