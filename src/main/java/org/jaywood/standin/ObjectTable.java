package org.jaywood.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.jaywood.wire.BadInputException;

/**
 * Objects of the platform stand-in with versions, conditional writes and earlier values.
 * A restore of an earlier value simulates a restore from an old backup.
 */
final class ObjectTable {

	private static final int MAX_HISTORY_VALUES = 64;

	private final Map<String, Map<String, Entry>> entriesByKind = new HashMap<>();

	private final Map<String, Deque<JsonNode>> valueHistory = new HashMap<>();

	private long version;

	synchronized long version() {
		return this.version;
	}

	synchronized @Nullable Entry find(String kind, String name) {
		Entry entry = this.entriesByKind.getOrDefault(kind, Map.of()).get(name);
		return (entry != null && !entry.deleted()) ? entry : null;
	}

	/**
	 * Writes an object if its version is the expected one.
	 * @param expectedVersion expected version, or 0 if the object must not exist
	 * @return the new version, or 0 if the condition does not hold
	 */
	synchronized long write(String kind, String name, JsonNode value, boolean deleted, long expectedVersion) {
		Entry current = find(kind, name);
		if (((current != null) ? current.version() : 0) != expectedVersion) {
			return 0;
		}
		Deque<JsonNode> history = this.valueHistory.computeIfAbsent(kind + "/" + name, (key) -> new ArrayDeque<>());
		history.addLast(value);
		if (history.size() > MAX_HISTORY_VALUES) {
			history.removeFirst();
		}
		return put(kind, name, value, deleted);
	}

	/**
	 * Sets an object to the value that it had some writes ago, under a new version.
	 */
	synchronized void restore(String kind, String name, int writesAgo) {
		List<JsonNode> history = List.copyOf(this.valueHistory.getOrDefault(kind + "/" + name, new ArrayDeque<>()));
		int index = history.size() - 1 - writesAgo;
		if (index < 0 || writesAgo < 0) {
			throw new BadInputException(400,
					"object " + kind + "/" + name + " has no value " + writesAgo + " writes ago");
		}
		put(kind, name, history.get(index), false);
	}

	private long put(String kind, String name, JsonNode value, boolean deleted) {
		this.version++;
		this.entriesByKind.computeIfAbsent(kind, (key) -> new HashMap<>())
			.put(name, new Entry(this.version, value, deleted));
		return this.version;
	}

	/**
	 * Returns the objects of a kind that changed after a version, in the form of the
	 * watch response.
	 */
	synchronized List<Map<String, Object>> changes(String kind, long afterVersion) {
		return this.entriesByKind.getOrDefault(kind, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().version() > afterVersion)
			.map((entry) -> Map.<String, Object>of("name", entry.getKey(), "version", entry.getValue().version(),
					"value", entry.getValue().value(), "deleted", entry.getValue().deleted()))
			.toList();
	}

	record Entry(long version, JsonNode value, boolean deleted) {
	}

}
