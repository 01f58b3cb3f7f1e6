package org.jaywood.gateway;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.Placement;

/**
 * Acts on what upstreams say about themselves in their responses: that they leave, or
 * want no calls for a while. Other gateways and agents are not told: each upstream says
 * it in every response, and the list of upstreams follows.
 */
final class NoticeHandler {

	/** Shortest time between two lines about headers that were ignored. */
	private static final long PROBLEM_INTERVAL_MILLIS = 10_000;

	private final Dispatcher dispatcher;

	private final GatewayMetrics metrics;

	private final EventLog log;

	private long nextProblemMillis = Long.MIN_VALUE;

	NoticeHandler(Dispatcher dispatcher, GatewayMetrics metrics, EventLog log) {
		this.dispatcher = dispatcher;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Handles the head of a response.
	 * @param placement placement of the attempt that it responds to
	 */
	void onResponse(Call call, Placement placement, ResponseHead head, long nowMillis) {
		if (head.misdirected()) {
			// Another upstream may have the address now, and must not be taken for this
			// one.
			return;
		}
		String upstream = placement.upstream().id();
		if (head.problem() != null) {
			logProblem(upstream, head.problem(), nowMillis);
		}
		if (head.leaving() && this.dispatcher.onLeaving(placement.upstream(), nowMillis)) {
			this.metrics.counter("upstream.leaving").inc();
			this.log.log(Event.UPSTREAM_LEAVING, "upstream", upstream, "request", call.id(), "sentMillisAgo",
					nowMillis - placement.placedMillis());
		}
		head.pauseMillis().ifPresent((pauseMillis) -> {
			this.dispatcher.onPause(placement.upstream(), pauseMillis, nowMillis);
			this.metrics.counter("upstream.paused").inc();
			this.log.log(Event.UPSTREAM_PAUSED, "upstream", upstream, "millis", pauseMillis, "request", call.id(),
					"sentMillisAgo", nowMillis - placement.placedMillis());
		});
	}

	private synchronized void logProblem(String upstream, String problem, long nowMillis) {
		this.metrics.counter("upstream.header_ignored").inc();
		if (nowMillis >= this.nextProblemMillis) {
			this.nextProblemMillis = nowMillis + PROBLEM_INTERVAL_MILLIS;
			this.log.log(Event.UPSTREAM_HEADER_IGNORED, "upstream", upstream, "header", problem);
		}
	}

}
