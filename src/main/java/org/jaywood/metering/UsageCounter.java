package org.jaywood.metering;

import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Counts the calls of one gateway by window and workspace, until their window is sealed.
 * It answers some thousand calls a second of many workspaces; what exceeds its bounds is
 * dropped and counted as such. Thread-safe.
 */
public final class UsageCounter {

	private final UsageWindows windows;

	private final TreeMap<Long, Map<String, Long>> open = new TreeMap<>();

	/** Counts that a leader has confirmed. */
	private Map<Long, Map<String, Long>> confirmed = Map.of();

	private long lastSealed = Long.MIN_VALUE;

	private long dropped;

	public UsageCounter(UsageWindows windows) {
		this.windows = windows;
	}

	/**
	 * Counts a call.
	 * @param trueMillis true time at which it began to run
	 */
	public synchronized void record(String workspace, long trueMillis) {
		long window = this.windows.windowAt(trueMillis);
		if (window <= this.lastSealed) {
			this.dropped++;
			return;
		}
		Map<String, Long> counts = this.open.computeIfAbsent(window, (key) -> new TreeMap<>());
		if (counts.size() >= UsageWindows.MAX_WORKSPACES && !counts.containsKey(workspace)) {
			this.dropped++;
			return;
		}
		counts.merge(workspace, 1L, Long::sum);
		if (this.open.size() > UsageWindows.MAX_WINDOWS) {
			drop(this.open.firstKey());
		}
	}

	/**
	 * Returns the counts of the windows that are not sealed.
	 */
	public synchronized Map<Long, Map<String, Long>> counts() {
		Map<Long, Map<String, Long>> copy = new TreeMap<>();
		this.open.forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
		return copy;
	}

	/**
	 * Takes in that the leader has the given counts, and which windows are sealed.
	 * @param counts counts that were sent
	 * @param sealed last sealed window; counts of sealed windows were not taken
	 */
	public synchronized void onReported(Map<Long, Map<String, Long>> counts, long sealed) {
		this.lastSealed = Math.max(this.lastSealed, sealed);
		while (!this.open.isEmpty() && this.open.firstKey() <= this.lastSealed) {
			drop(this.open.firstKey());
		}
		this.confirmed = counts;
	}

	private void drop(long window) {
		long counted = total(this.open.remove(window));
		this.dropped += Math.max(0, counted - total(this.confirmed.get(window)));
	}

	private static long total(@Nullable Map<String, Long> counts) {
		return (counts != null) ? counts.values().stream().mapToLong(Long::longValue).sum() : 0;
	}

	/**
	 * Returns the last window that a leader has sealed, as far as it is known here.
	 */
	public synchronized long lastSealed() {
		return this.lastSealed;
	}

	/**
	 * Returns the number of calls that are in no report, as far as it is known here.
	 */
	public synchronized long dropped() {
		return this.dropped;
	}

}
