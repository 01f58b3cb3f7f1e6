package org.jaywood.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The least share of placements that each priority but the most urgent gets, so that its
 * calls are served at least a quarter as often as all calls. It is a part of the share
 * that the priority has in the arrivals, so that a floor for few calls costs the urgent
 * ones little. Answers an overload by urgent calls alone. Not safe for use by several
 * threads.
 */
final class PriorityFloor {

	/**
	 * Share of the calls served relative to that of all; above the promised quarter,
	 * since not every call that is placed is answered in time.
	 */
	private static final double SERVED_SHARE = 0.3;

	/**
	 * Placements that a priority may be due at most. Those that it was due while it had
	 * no calls are not made up for in one burst.
	 */
	private static final double MAX_DUE_CALLS = 2;

	private final PriorityDemand demand;

	private final Map<Integer, Double> dueCalls = new HashMap<>();

	PriorityFloor(PriorityDemand demand) {
		this.demand = demand;
	}

	/**
	 * Records a placement of a call of any priority.
	 */
	void onPlaced(int priority, long nowMillis) {
		this.dueCalls.keySet().retainAll(this.demand.priorities());
		this.demand.priorities()
			.forEach((each) -> this.dueCalls.merge(each, share(each, nowMillis),
					(due, share) -> Math.min(MAX_DUE_CALLS, due + share)));
		this.dueCalls.computeIfPresent(priority, (key, due) -> Math.max(0, due - 1));
	}

	/**
	 * Whether a priority is due the next placement.
	 */
	boolean due(int priority) {
		return this.dueCalls.getOrDefault(priority, 0.0) >= 1;
	}

	/**
	 * Returns the least share of a priority in all placements.
	 */
	double share(int priority, long nowMillis) {
		return this.demand.mostUrgent(priority) ? 0 : SERVED_SHARE * this.demand.share(priority, nowMillis);
	}

}
