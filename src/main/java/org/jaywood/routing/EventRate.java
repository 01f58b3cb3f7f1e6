package org.jaywood.routing;

/**
 * Rate of events in a sliding window with exponential decay. Right after the first event
 * it is that of the time covered. Not safe for use by several threads.
 */
final class EventRate {

	private final double windowMillis;

	private double events;

	private long lastMillis;

	private long firstMillis = Long.MIN_VALUE;

	EventRate(double windowMillis) {
		this.windowMillis = windowMillis;
	}

	/**
	 * Returns a copy that events do not change.
	 */
	EventRate copy() {
		EventRate copy = new EventRate(this.windowMillis);
		copy.events = this.events;
		copy.lastMillis = this.lastMillis;
		copy.firstMillis = this.firstMillis;
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
