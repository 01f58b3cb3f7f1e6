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

	/** Time for which a number stays in use as a divisor after it falls. */
	private static final long RETENTION_MILLIS = 30_000;

	/** Interval at which the number is computed. */
	private static final long RECOMPUTE_INTERVAL_MILLIS = 100;

	private OptionalInt reported = OptionalInt.empty();

	private long computedMillis = Long.MIN_VALUE / 2;

	private int lastReported = DEFAULT_GATEWAY_COUNT;

	private final RecentMax recent = new RecentMax(RETENTION_MILLIS);

	private long firstReportedMillis = Long.MAX_VALUE;

	/**
	 * Returns the number, empty while no agent reports it.
	 * @param states all upstreams
	 * @param subscribedShare share of the engines to which a gateway subscribes
	 */
	OptionalInt reported(Collection<UpstreamState> states, double subscribedShare, long nowMillis) {
		if (isDue(nowMillis)) {
			this.computedMillis = nowMillis;
			this.reported = estimate(states, subscribedShare, nowMillis);
			this.reported.ifPresent((count) -> onReported(count, nowMillis));
		}
		return this.reported;
	}

	/**
	 * Returns the numbers that queries would give now, without a change of state.
	 */
	FleetSize preview(Collection<UpstreamState> states, double subscribedShare, long nowMillis) {
		OptionalInt count = isDue(nowMillis) ? estimate(states, subscribedShare, nowMillis) : this.reported;
		return new FleetSize(count.orElse(this.lastReported), Math.max(divisor(nowMillis), count.orElse(0)));
	}

	private boolean isDue(long nowMillis) {
		return nowMillis - this.computedMillis >= RECOMPUTE_INTERVAL_MILLIS;
	}

	/**
	 * Returns the number that was last reported, but at least the assumed one.
	 */
	int lastReported() {
		return this.lastReported;
	}

	private void onReported(int count, long nowMillis) {
		this.lastReported = Math.max(DEFAULT_GATEWAY_COUNT, count);
		this.recent.record(count, nowMillis);
		this.firstReportedMillis = Math.min(this.firstReportedMillis, nowMillis);
	}

	/**
	 * Returns the number by which the limit of a cold engine is divided whose agent does
	 * not report its own. After a start few gateways have found the agents.
	 */
	int divisor(long nowMillis) {
		int known = Math.max(this.recent.max(), this.lastReported);
		boolean settled = nowMillis - this.firstReportedMillis >= UpstreamState.SETTLING_MILLIS;
		return settled ? known : Math.max(BudgetDivisor.UNKNOWN_GATEWAY_COUNT, known);
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
