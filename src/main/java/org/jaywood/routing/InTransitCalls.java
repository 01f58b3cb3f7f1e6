package org.jaywood.routing;

import java.util.TreeMap;

/**
 * Calls of this gateway that are placed on one engine, by the time of their placement. An
 * engine that reports fewer calls than this gateway alone sent it some time before has
 * not received some of them: they are queued on the path to the engine, which the delay
 * of its reports on the path back does not show. Not safe for use by several threads.
 */
final class InTransitCalls {

	/**
	 * Time after its placement from which reports include a delivered call. Agents poll
	 * their engine at least every 250 ms, it returns figures that are about 200 ms old,
	 * and the report of a timely agent is in transit for at most 250 ms.
	 */
	private static final long MAX_REPORTING_LAG_MILLIS = 700;

	/**
	 * Time after its placement from which a call that the engine does not report may
	 * already have run, while its answer waits for a slow caller.
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
	 * Whether some calls have not reached the engine.
	 * @param reportedCalls calls of all gateways that the engine holds according to its
	 * report
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
