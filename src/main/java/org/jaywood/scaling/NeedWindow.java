package org.jaywood.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Engines needed over the last while. A need holds until the next one is recorded.
 */
final class NeedWindow {

	private final long keptMillis;

	private final Deque<Sample> samples = new ArrayDeque<>();

	/**
	 * Creates an empty window.
	 * @param keptMillis longest time that is looked back
	 */
	NeedWindow(long keptMillis) {
		this.keptMillis = keptMillis;
	}

	void record(int engines, long nowMillis) {
		Sample last = this.samples.peekLast();
		if (last == null || last.engines() != engines) {
			this.samples.add(new Sample(nowMillis, engines));
		}
		while (this.samples.size() > 1 && secondMillis() <= nowMillis - this.keptMillis) {
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
