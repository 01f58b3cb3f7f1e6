package org.jaywood.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * List of VMs of the platform stand-in. An entry becomes visible some time after it was
 * put, and entries become visible in the order in which they were put.
 */
final class VmTable {

	private final List<Entry> entries = new ArrayList<>();

	private long lagMillis;

	synchronized void setLagMillis(long lagMillis) {
		this.lagMillis = lagMillis;
	}

	synchronized void put(String vm, JsonNode value, long nowMillis) {
		long previousVisibleAtMillis = this.entries.isEmpty() ? 0 : this.entries.getLast().visibleAtMillis();
		this.entries.add(new Entry(vm, value, Math.max(previousVisibleAtMillis, nowMillis + this.lagMillis)));
	}

	/**
	 * Returns the version of the list: the number of visible entries.
	 */
	synchronized long version(long nowMillis) {
		return this.entries.stream().takeWhile((entry) -> entry.visibleAtMillis() <= nowMillis).count();
	}

	/**
	 * Returns the latest visible entry of each VM that changed after a version.
	 */
	synchronized List<JsonNode> changes(long afterVersion, long nowMillis) {
		long visibleVersion = version(nowMillis);
		Map<String, JsonNode> changed = new LinkedHashMap<>();
		for (long i = Math.max(0, afterVersion); i < visibleVersion; i++) {
			Entry entry = this.entries.get((int) i);
			changed.put(entry.vm(), entry.value());
		}
		return List.copyOf(changed.values());
	}

	private record Entry(String vm, JsonNode value, long visibleAtMillis) {
	}

}
