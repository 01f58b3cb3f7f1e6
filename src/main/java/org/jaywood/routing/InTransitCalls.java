package org.jaywood.routing;

import java.util.TreeMap;

/**
 * Calls of this gateway that one engine holds, by the time of their placement. An engine
 * that reports fewer calls than this gateway alone has sent it a while ago has not
 * received some: they wait on the way there, which the delay of its reports on the way
 * back does not show. Not safe for use by several threads.
 */
final class InTransitCalls {

	/**
	 * Time after its placement from which a report counts a call that has arrived. Agents
	 * ask their engine every 250 ms at least, it answers with figures of some 200 ms ago,
	 * and the report of a punctual agent is under way for 250 ms at most.
	 */
	private static final long MAX_REPORTING_LAG_MILLIS = 700;

	/**
	 * Time from which a call that an engine does not count may have been run, while its
	 * answer waits for a slow caller.
	 */
	private static final long MAX_UNDELIVERED_AGE_MILLIS = 3_000;

	private final TreeMap<Long, Integer> countByPlacedMillis = new TreeMap<>();

	void add(long placedMillis) {
		this.countByPlacedMillis.merge(placedMillis, 1, Integer::sum);
	}

	void remove(long placedMillis) {
		this.countByPlacedMillis.computeIfPresent(placedMillis, (key, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Whether calls have not reached the engine.
	 * @param reportedCalls calls of all gateways that the engine holds by its report
	 * @param nowMillis time of arrival of the report
	 */
	boolean hasUndelivered(int reportedCalls, long nowMillis) {
		int sentCalls = this.countByPlacedMillis
			.subMap(nowMillis - MAX_UNDELIVERED_AGE_MILLIS, nowMillis - MAX_REPORTING_LAG_MILLIS)
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.sum();
		return sentCalls > reportedCalls;
	}

}
