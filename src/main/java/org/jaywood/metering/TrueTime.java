package org.jaywood.metering;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimate of the true time as the median of time of day minus boot time over the last
 * minute. It answers clocks that are stepped by seconds and back: a step that lasts less
 * than half a minute does not move the windows. Thread-safe.
 */
public final class TrueTime {

	private static final long SAMPLE_INTERVAL_MILLIS = 1_000;

	private static final int MAX_SAMPLES = 60;

	private final Deque<Long> offsetsMillis = new ArrayDeque<>();

	private long sampledMillis;

	private long medianMillis;

	/**
	 * Creates an estimate from a first sample.
	 */
	public TrueTime(long bootMillis, long timeOfDayMillis) {
		add(bootMillis, timeOfDayMillis);
	}

	/**
	 * Takes a sample, unless the last one is less than a second old.
	 */
	public synchronized void sample(long bootMillis, long timeOfDayMillis) {
		if (bootMillis - this.sampledMillis >= SAMPLE_INTERVAL_MILLIS) {
			add(bootMillis, timeOfDayMillis);
		}
	}

	private void add(long bootMillis, long timeOfDayMillis) {
		this.sampledMillis = bootMillis;
		this.offsetsMillis.addLast(timeOfDayMillis - bootMillis);
		if (this.offsetsMillis.size() > MAX_SAMPLES) {
			this.offsetsMillis.removeFirst();
		}
		long[] sorted = this.offsetsMillis.stream().mapToLong(Long::longValue).sorted().toArray();
		this.medianMillis = sorted[sorted.length / 2];
	}

	/**
	 * Returns the true time in milliseconds since the start of 1970.
	 */
	public synchronized long at(long bootMillis) {
		return bootMillis + this.medianMillis;
	}

}
