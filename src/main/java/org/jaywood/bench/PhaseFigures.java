package org.jaywood.bench;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import org.jaywood.bench.LoadResult.Outcome;

/**
 * Outcomes and times of the calls of one phase.
 */
public final class PhaseFigures {

	private static final long MAX_RECORDED_MICROS = 120_000_000;

	private final Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);

	private final Map<String, Integer> reasons = new TreeMap<>();

	private final Histogram firstToken = new Histogram(MAX_RECORDED_MICROS, 3);

	private final Histogram whole = new Histogram(MAX_RECORDED_MICROS, 3);

	private int skipped;

	synchronized void add(LoadResult result) {
		this.counts.merge(result.outcome(), 1, Integer::sum);
		if (!result.reason().isEmpty()) {
			this.reasons.merge(result.outcome() + " " + result.reason(), 1, Integer::sum);
		}
		if (result.outcome() == Outcome.ANSWERED) {
			this.whole.recordValue(Math.min(result.wholeMicros(), MAX_RECORDED_MICROS));
			if (result.firstTokenMicros() > 0) {
				this.firstToken.recordValue(Math.min(result.firstTokenMicros(), MAX_RECORDED_MICROS));
			}
		}
	}

	synchronized void addSkipped() {
		this.skipped++;
	}

	public synchronized int count(Outcome outcome) {
		return this.counts.getOrDefault(outcome, 0);
	}

	public synchronized int total() {
		return this.counts.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns the number of calls that were due but not made, because too many calls were
	 * running.
	 */
	public synchronized int skipped() {
		return this.skipped;
	}

	public double answeredShare() {
		int total = total();
		return (total > 0) ? (double) count(Outcome.ANSWERED) / total : 0;
	}

	public synchronized double firstTokenMillis(double percentile) {
		return this.firstToken.getValueAtPercentile(percentile) / 1000.0;
	}

	public synchronized double wholeMillis(double percentile) {
		return this.whole.getValueAtPercentile(percentile) / 1000.0;
	}

	/**
	 * Returns the number of calls by reason, of those that were not answered.
	 */
	public synchronized Map<String, Integer> reasons() {
		return new TreeMap<>(this.reasons);
	}

	/**
	 * Returns the figures as fields of a JSON line.
	 */
	public Map<String, Object> toMap() {
		Map<String, Object> map = new LinkedHashMap<>();
		for (Outcome outcome : Outcome.values()) {
			map.put(outcome.name().toLowerCase(Locale.ROOT), count(outcome));
		}
		map.put("skipped", skipped());
		map.put("answeredShare", answeredShare());
		map.put("p50FirstTokenMillis", firstTokenMillis(50));
		map.put("p99FirstTokenMillis", firstTokenMillis(99));
		map.put("p99WholeMillis", wholeMillis(99));
		return map;
	}

}
