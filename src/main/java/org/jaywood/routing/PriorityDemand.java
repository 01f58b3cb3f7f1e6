package org.jaywood.routing;

import java.util.Set;
import java.util.TreeMap;

/**
 * Calls of each priority that have lately come, whether they were placed or refused. Not
 * safe for use by several threads.
 */
final class PriorityDemand {

	/** Long enough to contain some dozen calls, short enough to follow a burst. */
	private static final double WINDOW_MILLIS = 2_000;

	/**
	 * Time without calls after which a priority is removed. If the most urgent priority
	 * remained while idle, the next one would have a floor that it does not need.
	 */
	private static final long RETENTION_MILLIS = 20_000;

	private final TreeMap<Integer, EventRate> arrivals = new TreeMap<>();

	private long firstMillis = Long.MIN_VALUE;

	/**
	 * Records a call. The rate of a new priority is averaged since the first call of any
	 * priority; otherwise a single call would look like a very high rate and cause
	 * refusals of less urgent calls.
	 */
	void onArrival(int priority, long nowMillis) {
		if (this.firstMillis == Long.MIN_VALUE) {
			this.firstMillis = nowMillis;
		}
		this.arrivals.computeIfAbsent(priority, (key) -> new EventRate(WINDOW_MILLIS, this.firstMillis))
			.record(nowMillis);
		this.arrivals.values().removeIf((rate) -> rate.idleMillis(nowMillis) >= RETENTION_MILLIS);
	}

	/**
	 * Returns the demand after another call, without recording it here.
	 */
	PriorityDemand withArrival(int priority, long nowMillis) {
		PriorityDemand copy = new PriorityDemand();
		copy.firstMillis = this.firstMillis;
		this.arrivals.forEach((each, rate) -> copy.arrivals.put(each, rate.copy()));
		copy.onArrival(priority, nowMillis);
		return copy;
	}

	/**
	 * Returns the priorities of which calls have come, the most urgent first.
	 */
	Set<Integer> priorities() {
		return this.arrivals.keySet();
	}

	/**
	 * Whether a priority is the most urgent one of which calls have come.
	 */
	boolean mostUrgent(int priority) {
		return this.arrivals.isEmpty() || priority <= this.arrivals.firstKey();
	}

	/**
	 * Returns the calls of more urgent priorities that come in a millisecond.
	 */
	double moreUrgentPerMilli(int priority, long nowMillis) {
		return this.arrivals.headMap(priority).values().stream().mapToDouble((rate) -> rate.perMilli(nowMillis)).sum();
	}

	/**
	 * Returns the share of a priority in all calls that come.
	 */
	double share(int priority, long nowMillis) {
		EventRate own = this.arrivals.get(priority);
		double allPerMilli = moreUrgentPerMilli(Integer.MAX_VALUE, nowMillis);
		return (own != null && allPerMilli > 0) ? own.perMilli(nowMillis) / allPerMilli : 0;
	}

}
