package org.jaywood.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Share of this gateway in the free capacity of one upstream. A report shows calls some
 * time after they were sent, so that gateways that each fill what it shows as free send
 * several times as much. Each may therefore have the calls that it had when the report
 * was true, and its part of what was free then. Not safe for use by several threads.
 */
final class FreeShare {

	/**
	 * Time after which a report includes a call: an engine returns figures that are about
	 * 200 ms old, its agent polls it each 100 ms, and the call and the report are in
	 * transit.
	 */
	private static final long REPORTING_LAG_MILLIS = 400;

	/** Own calls after each change, the oldest first. */
	private final Deque<OwnCalls> ownCalls = new ArrayDeque<>();

	private final Deque<Reported> reports = new ArrayDeque<>();

	/**
	 * Records a change of the number of calls that this gateway has at the upstream.
	 */
	void onOwnCalls(int count, long nowMillis) {
		this.ownCalls.addLast(new OwnCalls(count, nowMillis));
		ownCallsAt(nowMillis - REPORTING_LAG_MILLIS);
	}

	/**
	 * Records a report.
	 * @param loadCalls calls of all gateways that the upstream holds
	 * @param gateways number of gateways that share it
	 */
	void onReport(int loadCalls, int gateways, long nowMillis) {
		this.reports
			.addLast(new Reported(ownCallsAt(nowMillis - REPORTING_LAG_MILLIS), loadCalls, gateways, nowMillis));
		while (this.reports.getFirst().arrivedMillis() <= nowMillis - REPORTING_LAG_MILLIS) {
			this.reports.removeFirst();
		}
	}

	/**
	 * Returns the calls that this gateway may have at the upstream, at least one more
	 * than it had.
	 * @param capacityCalls calls of all gateways that the upstream may hold
	 */
	int maxOwnCalls(double capacityCalls) {
		return this.reports.stream()
			.mapToInt((report) -> report.maxOwnCalls(capacityCalls))
			.max()
			.orElse(Integer.MAX_VALUE);
	}

	/**
	 * Returns the own calls at a time, and forgets what was before.
	 */
	private int ownCallsAt(long millis) {
		int count = 0;
		while (!this.ownCalls.isEmpty() && this.ownCalls.getFirst().sinceMillis() <= millis) {
			count = this.ownCalls.removeFirst().count();
		}
		if (count > 0) {
			this.ownCalls.addFirst(new OwnCalls(count, millis));
		}
		return count;
	}

	private record OwnCalls(int count, long sinceMillis) {
	}

	/**
	 * Report of an agent.
	 *
	 * @param ownCalls calls of this gateway at the time at which it was true
	 */
	private record Reported(int ownCalls, int loadCalls, int gateways, long arrivedMillis) {

		int maxOwnCalls(double capacityCalls) {
			double shareCalls = (capacityCalls - this.loadCalls) / Math.max(1, this.gateways);
			return this.ownCalls + Math.max(1, (int) shareCalls);
		}

	}

}
