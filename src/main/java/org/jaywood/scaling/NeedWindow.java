package org.jaywood.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Engines needed over a sliding window. A need holds until the next one is recorded,
 * unless that takes so long that the needs in between are not known.
 */
final class NeedWindow {

	/**
	 * Longest time between two records. Needs are recorded once a second; a call to the
	 * platform may delay that by 1.5 s.
	 */
	private static final long MAX_GAP_MILLIS = 3_000;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private long recordedMillis = Long.MIN_VALUE / 2;

	/**
	 * Records a need.
	 * @param keptMillis longest time that is looked back
	 */
	void record(int engines, long keptMillis, long nowMillis) {
		if (nowMillis - this.recordedMillis > MAX_GAP_MILLIS) {
			this.samples.clear();
		}
		this.recordedMillis = nowMillis;
		Sample last = this.samples.peekLast();
		if (last == null || last.engines() != engines) {
			this.samples.add(new Sample(nowMillis, engines));
		}
		while (this.samples.size() > 1 && secondMillis() <= nowMillis - keptMillis) {
			this.samples.removeFirst();
		}
	}

	private long secondMillis() {
		return this.samples.stream().skip(1).findFirst().map(Sample::sinceMillis).orElse(Long.MAX_VALUE);
	}

	/**
	 * Whether the need is known for a time up to now.
	 */
	boolean covers(long lengthMillis, long nowMillis) {
		Sample first = this.samples.peekFirst();
		return first != null && first.sinceMillis() <= nowMillis - lengthMillis;
	}

	/**
	 * Returns the lowest need of the time up to now.
	 */
	int min(long lengthMillis, long nowMillis) {
		int min = Integer.MAX_VALUE;
		for (Sample sample : (Iterable<Sample>) this.samples::descendingIterator) {
			min = Math.min(min, sample.engines());
			if (sample.sinceMillis() <= nowMillis - lengthMillis) {
				break;
			}
		}
		return min;
	}

	/**
	 * Returns the highest need of all the time that is looked back.
	 */
	int max() {
		return this.samples.stream().mapToInt(Sample::engines).max().orElse(0);
	}

	/**
	 * Need from a time on.
	 */
	private record Sample(long sinceMillis, int engines) {
	}

}
