package org.jaywood.routing;

/**
 * Slots that urgent calls will need, and those that less urgent ones therefore leave
 * free: a call that holds a slot is not interrupted, so what urgent calls need until the
 * next slots become free has to be free before they come. Answers a burst of less urgent
 * calls right before urgent ones. Not safe for use by several threads.
 */
final class SlotDemand {

	/**
	 * Urgent calls expected until the next slot becomes free, below which none is held
	 * back: they would nearly always find the slot unused.
	 */
	private static final double MIN_URGENT_CALLS = 0.15;

	/**
	 * Largest share of the slots in use by this gateway that is held back. With many
	 * gateways each has few slots, and the slots held back by all would be most of them.
	 */
	private static final double MAX_HELD_BACK_SHARE = 0.25;

	/**
	 * Long enough to contain some dozen calls, short enough to follow a loss of engines.
	 */
	private static final double WINDOW_MILLIS = 2_000;

	private final PriorityDemand demand;

	private final SlotTimeEstimator slotTime = new SlotTimeEstimator();

	private final EventRate placements = new EventRate(WINDOW_MILLIS);

	private int running;

	SlotDemand(PriorityDemand demand) {
		this.demand = demand;
	}

	void onBegin() {
		this.running++;
	}

	void onPlaced(long nowMillis) {
		this.placements.record(nowMillis);
	}

	void onEnd(Placement placement, Outcome outcome, long nowMillis) {
		this.running = Math.max(0, this.running - 1);
		if (outcome == Outcome.ANSWERED) {
			this.slotTime.record(placement.requirements().cost(), nowMillis - placement.placedMillis());
		}
	}

	/**
	 * Returns the time for which a call is expected to hold a slot.
	 */
	double expectedMillis(CallCost cost) {
		return this.slotTime.expectedMillis(cost);
	}

	/**
	 * Returns the calls of this gateway that are placed in a millisecond while calls
	 * wait: the rate at which calls were placed, or the one at which its slots become
	 * free now, if that is higher. 0 if neither is known yet.
	 */
	double placedPerMilli(long nowMillis) {
		if (!this.slotTime.known()) {
			return 0;
		}
		return Math.max(this.placements.perMilli(nowMillis), this.running / this.slotTime.meanMillis());
	}

	/**
	 * Returns the time in milliseconds since the first placement.
	 */
	long ageMillis(long nowMillis) {
		return this.placements.ageMillis(nowMillis);
	}

	/**
	 * Returns the slots for each gateway that stay free when a call is placed. Urgent
	 * calls do not come evenly, so it is their expected number and its square root.
	 */
	double heldBackSlots(int priority, long nowMillis) {
		if (!this.slotTime.known() || this.running == 0) {
			return 0;
		}
		double nextSlotMillis = this.slotTime.meanMillis() / this.running;
		double calls = this.demand.moreUrgentPerMilli(priority, nowMillis) * nextSlotMillis;
		return (calls < MIN_URGENT_CALLS) ? 0 : Math.min(MAX_HELD_BACK_SHARE * this.running, calls + Math.sqrt(calls));
	}

}
