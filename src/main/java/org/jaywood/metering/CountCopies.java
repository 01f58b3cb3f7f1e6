package org.jaywood.metering;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of processes that may have ended, kept until their windows are sealed. It
 * answers a leader that is killed before the lease has its latest counts: the other
 * gateways have them from its responses and tell the next leader. Thread-safe.
 */
public final class CountCopies {

	/** Processes whose counts are kept: more leaders than windows are open. */
	private static final int MAX_PROCESSES = 8;

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
			latest.forEach((workspace, count) -> merged.merge(workspace, count, Math::max));
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
