package org.jaywood.routing;

/**
 * Rate of events in a sliding window with exponential decay. Right after the first event
 * it is that of the time covered. Not safe for use by several threads.
 */
final class EventRate {

	private final double windowMillis;

	private double events;

	private long lastMillis;

	private long firstMillis;

	EventRate(double windowMillis) {
		this(windowMillis, Long.MIN_VALUE);
	}

	/**
	 * Creates a rate for events that have been observed since a given time, none so far.
	 * @param sinceMillis start of the observation
	 */
	EventRate(double windowMillis, long sinceMillis) {
		this.windowMillis = windowMillis;
		this.firstMillis = sinceMillis;
	}

	/**
	 * Returns a copy that events do not change.
	 */
	EventRate copy() {
		EventRate copy = new EventRate(this.windowMillis, this.firstMillis);
		copy.events = this.events;
		copy.lastMillis = this.lastMillis;
		return copy;
	}

	void record(long nowMillis) {
		if (this.firstMillis == Long.MIN_VALUE) {
			this.firstMillis = nowMillis;
		}
		this.events = decayed(nowMillis) + 1;
		this.lastMillis = nowMillis;
	}

	/**
	 * Returns the events in a millisecond.
	 */
	double perMilli(long nowMillis) {
		return decayed(nowMillis) / coveredMillis(nowMillis);
	}

	/**
	 * Returns the time in milliseconds since the latest event.
	 */
	long idleMillis(long nowMillis) {
		return nowMillis - this.lastMillis;
	}

	/**
	 * Returns the time in milliseconds since the first event, 0 if there was none.
	 */
	long ageMillis(long nowMillis) {
		return (this.firstMillis != Long.MIN_VALUE) ? nowMillis - this.firstMillis : 0;
	}

	private double coveredMillis(long nowMillis) {
		double ageMillis = Math.max(1, ageMillis(nowMillis));
		return this.windowMillis * (1 - Math.exp(-ageMillis / this.windowMillis));
	}

	private double decayed(long nowMillis) {
		return this.events * Math.exp(-Math.max(0, nowMillis - this.lastMillis) / this.windowMillis);
	}

}
