package org.jaywood.metering;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of processes that may have ended, kept until their windows are sealed. If a
 * leader is killed before its latest counts are saved with the lease, the next leader
 * gets them from the other gateways, which keep copies from its responses. Thread-safe.
 */
public final class CountCopies {

	/** Maximum number of processes whose counts are kept. */
	private static final int MAX_PROCESSES = 8;

	/**
	 * Maximum number of counts that are kept. They are sent with each report, of which a
	 * leader accepts 2 MB.
	 */
	private static final int MAX_COUNTS = 8 * 1024;

	private final Map<String, TreeMap<Long, Map<String, Long>>> windowsByProcess = new LinkedHashMap<>();

	private long lastSealed = Long.MIN_VALUE;

	/**
	 * Takes in the counts of a process. The highest count wins.
	 */
	public synchronized void merge(ProcessCounts counts) {
		TreeMap<Long, Map<String, Long>> kept = this.windowsByProcess.computeIfAbsent(counts.process(),
				(key) -> new TreeMap<>());
		counts.windows().forEach((window, latest) -> {
			Map<String, Long> merged = kept.computeIfAbsent(window, (key) -> new HashMap<>());
			int others = size() - merged.size();
			latest.forEach((workspace, count) -> {
				if (merged.containsKey(workspace) || others + merged.size() < MAX_COUNTS) {
					merged.merge(workspace, count, Math::max);
				}
			});
		});
		while (kept.size() > UsageWindows.MAX_WINDOWS) {
			kept.pollFirstEntry();
		}
		removeSealed();
		if (this.windowsByProcess.size() > MAX_PROCESSES) {
			this.windowsByProcess.remove(this.windowsByProcess.keySet().iterator().next());
		}
	}

	/**
	 * Takes in the response of a leader.
	 */
	public synchronized void onConfirmed(UsageConfirmation confirmation) {
		ProcessCounts leader = confirmation.leader();
		if (leader != null) {
			merge(leader);
		}
		this.lastSealed = Math.max(this.lastSealed, confirmation.sealed());
		removeSealed();
	}

	private int size() {
		return this.windowsByProcess.values()
			.stream()
			.flatMap((windows) -> windows.values().stream())
			.mapToInt(Map::size)
			.sum();
	}

	private void removeSealed() {
		this.windowsByProcess.values().forEach((windows) -> windows.headMap(this.lastSealed, true).clear());
		this.windowsByProcess.values().removeIf(Map::isEmpty);
	}

	/**
	 * Returns the counts of all processes but one.
	 */
	public synchronized List<ProcessCounts> allExcept(String process) {
		return this.windowsByProcess.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(process))
			.map((entry) -> new ProcessCounts(entry.getKey(), copy(entry.getValue())))
			.toList();
	}

	private static Map<Long, Map<String, Long>> copy(Map<Long, Map<String, Long>> windows) {
		Map<Long, Map<String, Long>> copy = new TreeMap<>();
		windows.forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
		return copy;
	}

}
