package org.jaywood.gateway;

import org.jaywood.event.Event;
import org.jaywood.event.EventLog;
import org.jaywood.routing.Dispatcher;
import org.jaywood.routing.LimitNotice;
import org.jaywood.routing.Placement;

/**
 * Acts on what upstreams say about themselves in their responses: that they leave, want
 * no calls for a while, or how many calls they take. Other gateways and agents are not
 * told: each upstream says it in every response, and the list of upstreams follows.
 */
final class NoticeHandler {

	/** Shortest time between two lines about headers that were ignored. */
	private static final long PROBLEM_INTERVAL_MILLIS = 10_000;

	/** Shortest time between two lines about limits that have changed. */
	private static final long LIMIT_INTERVAL_MILLIS = 10_000;

	private final Dispatcher dispatcher;

	private final GatewayMetrics metrics;

	private final EventLog log;

	private long nextProblemMillis = Long.MIN_VALUE;

	private volatile long nextLimitMillis = Long.MIN_VALUE;

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
		handleLimit(call, placement, head.limit(), nowMillis);
	}

	private void handleLimit(Call call, Placement placement, LimitNotice limit, long nowMillis) {
		String upstream = placement.upstream().id();
		switch (this.dispatcher.onLimit(placement.upstream(), limit, placement.placedMillis(), nowMillis)) {
			case BEGUN -> {
				this.metrics.counter("upstream.limited").inc();
				logLimit(call, upstream, limit);
			}
			case CHANGED -> {
				if (nowMillis >= this.nextLimitMillis) {
					this.nextLimitMillis = nowMillis + LIMIT_INTERVAL_MILLIS;
					logLimit(call, upstream, limit);
				}
			}
			case ENDED -> {
				this.metrics.counter("upstream.limit_ended").inc();
				this.log.log(Event.UPSTREAM_LIMIT_ENDED, "upstream", upstream, "request", call.id());
			}
			case NONE -> {
			}
		}
	}

	private void logLimit(Call call, String upstream, LimitNotice limit) {
		this.log.log(Event.UPSTREAM_LIMITED, "upstream", upstream, "perSecond",
				(limit instanceof LimitNotice.Limited limited) ? limited.callsPerSecond() : "", "request", call.id());
	}

	private synchronized void logProblem(String upstream, String problem, long nowMillis) {
		this.metrics.counter("upstream.header_ignored").inc();
		if (nowMillis >= this.nextProblemMillis) {
			this.nextProblemMillis = nowMillis + PROBLEM_INTERVAL_MILLIS;
			this.log.log(Event.UPSTREAM_HEADER_IGNORED, "upstream", upstream, "header", problem);
		}
	}

}
