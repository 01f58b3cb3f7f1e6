package org.jaywood.routing;

import java.util.Collection;
import java.util.IntSummaryStatistics;
import java.util.OptionalInt;

/**
 * Estimates the number of gateways that share the upstreams. If a gateway subscribes to
 * all engines, it is the number of subscribers that their agents report. Otherwise it is
 * computed from the mean number of subscribers of an engine, since each gateway
 * subscribes to the same share of the engines. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class GatewayCountEstimator {

	/** Number assumed before an agent has reported one. */
	private static final int DEFAULT_GATEWAY_COUNT = 4;

	/**
	 * Factor on a number that is estimated from a part of the engines, so that the shares
	 * of all gateways seldom exceed the whole.
	 */
	private static final double ESTIMATE_MARGIN = 1.15;

	/** Interval at which the number is computed. */
	private static final long RECOMPUTE_INTERVAL_MILLIS = 100;

	private OptionalInt reported = OptionalInt.empty();

	private long computedMillis = Long.MIN_VALUE / 2;

	private int lastReported = DEFAULT_GATEWAY_COUNT;

	/**
	 * Returns the number, empty while no agent reports it.
	 * @param states all upstreams
	 * @param subscribedShare share of the engines to which a gateway subscribes
	 */
	OptionalInt reported(Collection<UpstreamState> states, double subscribedShare, long nowMillis) {
		if (nowMillis - this.computedMillis >= RECOMPUTE_INTERVAL_MILLIS) {
			this.computedMillis = nowMillis;
			this.reported = estimate(states, subscribedShare, nowMillis);
			this.reported.ifPresent((count) -> this.lastReported = Math.max(DEFAULT_GATEWAY_COUNT, count));
		}
		return this.reported;
	}

	/**
	 * Returns the number that was last reported, but at least the assumed one.
	 */
	int lastReported() {
		return this.lastReported;
	}

	/**
	 * Has the next query compute the number anew.
	 */
	void refresh() {
		this.computedMillis = Long.MIN_VALUE / 2;
	}

	private static OptionalInt estimate(Collection<UpstreamState> states, double subscribedShare, long nowMillis) {
		IntSummaryStatistics subscribers = states.stream()
			.filter(UpstreamState::subscribed)
			.map((state) -> state.gateways(nowMillis))
			.flatMapToInt(OptionalInt::stream)
			.summaryStatistics();
		if (subscribers.getCount() == 0) {
			return OptionalInt.empty();
		}
		return OptionalInt.of((subscribedShare >= 1) ? subscribers.getMax()
				: (int) Math.ceil(ESTIMATE_MARGIN * subscribers.getAverage() / subscribedShare));
	}

}
