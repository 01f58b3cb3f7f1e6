package org.jaywood.routing;

/**
 * Forecast of the wait of a call by its priority. A less urgent call waits behind those
 * that are queued before it and behind the urgent ones that are still to come, so its
 * share of the placements is what these leave, and at least its floor. Answers a lasting
 * overload: a call that would wait in vain is refused when it arrives, or as soon as that
 * is known. Not safe for use by several threads.
 */
final class WaitForecast {

	/**
	 * Largest forecast wait of a call that arrives, as a share of the time that it can
	 * wait, since forecasts are inexact.
	 */
	private static final double MAX_FORECAST_SHARE = 0.7;

	/**
	 * Factor by which the forecast wait of a queued call must exceed the time that is
	 * left: a call that has waited is not given up for an inexact forecast.
	 */
	private static final double OVERDUE_FACTOR = 1.2;

	/**
	 * Time after the first placement in which rates are not known: engines come up one
	 * after the other, and a rate measured before would refuse calls that they have room
	 * for.
	 */
	private static final long SETTLING_MILLIS = 1_000;

	private final PriorityDemand demand;

	private final PriorityFloor floor;

	private final SlotDemand slots;

	WaitForecast(PriorityDemand demand, PriorityFloor floor, SlotDemand slots) {
		this.demand = demand;
		this.floor = floor;
		this.slots = slots;
	}

	/**
	 * Whether rates are known.
	 */
	boolean known(long nowMillis) {
		return this.slots.ageMillis(nowMillis) >= SETTLING_MILLIS && this.slots.placedPerMilli(nowMillis) > 0;
	}

	/**
	 * Returns the expected wait of a call in milliseconds, 0 while it is not known: until
	 * its turn behind the more urgent calls, or by the floor of its priority.
	 * @param moreUrgent queued calls that are placed before those of its priority
	 * @param ahead queued calls of its priority that are placed before it
	 */
	double waitMillis(int priority, int moreUrgent, int ahead, long nowMillis) {
		if (!known(nowMillis) || moreUrgent + ahead == 0) {
			return 0;
		}
		return Math.min((moreUrgent + ahead) / leftPerMilli(priority, nowMillis),
				(ahead + 1) / floorPerMilli(priority, nowMillis));
	}

	/**
	 * Returns the calls of a priority that are placed in a millisecond while calls wait.
	 */
	double placedPerMilli(int priority, long nowMillis) {
		return Math.max(leftPerMilli(priority, nowMillis), floorPerMilli(priority, nowMillis));
	}

	/**
	 * Returns the placements in a millisecond that more urgent calls leave.
	 */
	private double leftPerMilli(int priority, long nowMillis) {
		return Math.max(Double.MIN_NORMAL,
				this.slots.placedPerMilli(nowMillis) - this.demand.moreUrgentPerMilli(priority, nowMillis));
	}

	private double floorPerMilli(int priority, long nowMillis) {
		return Math.max(Double.MIN_NORMAL,
				this.slots.placedPerMilli(nowMillis) * this.floor.share(priority, nowMillis));
	}

	/**
	 * Whether the wait of a call that arrives is likely to end within a time.
	 */
	boolean endsWithin(long millis, int priority, int moreUrgent, int ahead, long nowMillis) {
		return waitMillis(priority, moreUrgent, ahead, nowMillis) <= MAX_FORECAST_SHARE * millis;
	}

	/**
	 * Whether the wait of a queued call is not likely any more to end in time.
	 */
	boolean isOverdue(QueuedCall queuedCall, int moreUrgent, int ahead, long nowMillis) {
		long leftMillis = queuedCall.deadlineMillis() - nowMillis;
		return waitMillis(queuedCall.requirements().priority(), moreUrgent, ahead, nowMillis) > OVERDUE_FACTOR
				* leftMillis;
	}

}
