package org.jaywood.gateway;

import org.jaywood.routing.Route;

/**
 * How long a call may wait for a place. It answers the load of many more calls than the
 * upstreams can run: a call whose first event would come too late anyway leaves the queue
 * at once, so that it does not delay others and its caller can come back early.
 */
final class QueueDeadline {

	/** Time from the hand-over to the first event of a stream in a full engine. */
	private static final long FIRST_EVENT_MILLIS = 170;

	/** Part of the target of a plain call that it may wait. */
	private static final double PLAIN_WAIT_SHARE = 0.8;

	/** Wait of a call that is late already. */
	private static final long MAX_LATE_WAIT_MILLIS = 500;

	/** Least wait, in which a place often becomes free. */
	private static final long MIN_WAIT_MILLIS = 25;

	private QueueDeadline() {
	}

	/**
	 * Boot time at which a call leaves the queue.
	 */
	static long queueDeadlineMillis(Call call, long nowMillis) {
		Route route = call.route();
		long limitMillis;
		if (call.late() || nowMillis >= call.onTimeUntilMillis()) {
			limitMillis = nowMillis + MAX_LATE_WAIT_MILLIS;
		}
		else if (route.policy().streaming()) {
			limitMillis = call.onTimeUntilMillis() - FIRST_EVENT_MILLIS;
		}
		else {
			limitMillis = call.arrivedMillis() + Math.round(route.targetMillis() * PLAIN_WAIT_SHARE);
		}
		return Math.min(call.deadlineMillis(), Math.max(nowMillis + MIN_WAIT_MILLIS, limitMillis));
	}

}
