package org.jaywood.gateway;

import org.jaywood.routing.Route;

/**
 * The deadline up to which a call may wait in the queue. Designed for many more calls
 * than the upstreams can run: a call whose first event would come too late anyway leaves
 * the queue, so that it does not delay others and its caller can retry early.
 */
final class QueueDeadline {

	/** Time from sending an attempt to the first event, with an engine at capacity. */
	private static final long FIRST_EVENT_MILLIS = 170;

	/** Share of its target latency that a call without a stream may wait. */
	private static final double PLAIN_WAIT_SHARE = 0.8;

	/** Longest wait of a call that is late already. */
	private static final long MAX_LATE_WAIT_MILLIS = 500;

	/** Shortest wait, within which capacity often becomes free. */
	private static final long MIN_WAIT_MILLIS = 25;

	private QueueDeadline() {
	}

	/**
	 * Returns the boot time at which a call leaves the queue.
	 */
	static long queueDeadlineMillis(Call call, long nowMillis) {
		Route route = call.route();
		long deadlineMillis;
		if (call.late() || nowMillis >= call.onTimeUntilMillis()) {
			deadlineMillis = nowMillis + MAX_LATE_WAIT_MILLIS;
		}
		else if (route.policy().streaming()) {
			deadlineMillis = call.onTimeUntilMillis() - FIRST_EVENT_MILLIS;
		}
		else {
			deadlineMillis = call.arrivedMillis() + Math.round(route.targetMillis() * PLAIN_WAIT_SHARE);
		}
		return Math.min(call.deadlineMillis(), Math.max(nowMillis + MIN_WAIT_MILLIS, deadlineMillis));
	}

}
