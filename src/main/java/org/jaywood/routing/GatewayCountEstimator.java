package org.jaywood.routing;

import java.util.Collection;
import java.util.IntSummaryStatistics;
import java.util.OptionalInt;

/**
 * Number of gateways that share the upstreams. While a gateway follows all engines, their
 * agents know it; else it follows from how many gateways follow an engine, as each of
 * them follows the same share of the engines. Guarded by the lock of its
 * {@link Dispatcher}.
 */
final class GatewayCountEstimator {

	/** Number assumed while no agent has told it. */
	private static final int DEFAULT_GATEWAY_COUNT = 4;

	/**
	 * Factor on a number that is estimated from a part of the engines, so that the parts
	 * of all gateways seldom exceed the whole.
	 */
	private static final double ESTIMATE_MARGIN = 1.15;

	/** Interval at which the number is worked out. */
	private static final long RECOMPUTE_INTERVAL_MILLIS = 100;

	private OptionalInt reported = OptionalInt.empty();

	private long computedMillis = Long.MIN_VALUE / 2;

	private int lastReported = DEFAULT_GATEWAY_COUNT;

	/**
	 * The number, empty while no agent tells.
	 * @param states all upstreams
	 * @param subscribedShare share of the engines that a gateway follows
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
	 * The number as it was told last.
	 */
	int lastReported() {
		return this.lastReported;
	}

	/**
	 * Works the number out anew at the next question.
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
