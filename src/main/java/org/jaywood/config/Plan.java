package org.jaywood.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

import org.jaywood.wire.Json;

/**
 * Changes that an apply of a deployment would make, field by field.
 *
 * @param changes changes sorted by path
 */
public record Plan(List<Change> changes) {

	/**
	 * Returns the changes that lead from one deployment to another.
	 */
	public static Plan between(Deployment before, Deployment after) {
		Map<String, String> oldValues = valuesByPath(before);
		Map<String, String> newValues = valuesByPath(after);
		TreeSet<String> paths = new TreeSet<>(oldValues.keySet());
		paths.addAll(newValues.keySet());
		return new Plan(paths.stream()
			.map((path) -> new Change(path, Optional.ofNullable(oldValues.get(path)),
					Optional.ofNullable(newValues.get(path))))
			.filter((change) -> !change.before().equals(change.after()))
			.toList());
	}

	private static Map<String, String> valuesByPath(Deployment deployment) {
		Map<String, String> values = new TreeMap<>();
		collectValues("", Json.mapper().valueToTree(deployment), values);
		return values;
	}

	private static void collectValues(String path, JsonNode node, Map<String, String> values) {
		if (node.isObject()) {
			node.properties()
				.forEach((entry) -> collectValues(path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(),
						entry.getValue(), values));
		}
		else if (node.isArray()) {
			for (int i = 0; i < node.size(); i++) {
				collectValues(path + "[" + i + "]", node.get(i), values);
			}
		}
		else {
			values.put(path, node.asText());
		}
	}

	/**
	 * A change of one field.
	 *
	 * @param path path of the field
	 * @param before value in force, or empty if the field is new
	 * @param after value after the apply, or empty if the field is removed
	 */
	public record Change(String path, Optional<String> before, Optional<String> after) {

		@Override
		public String toString() {
			if (this.before.isEmpty()) {
				return "+ " + this.path + ": " + this.after.orElse("");
			}
			if (this.after.isEmpty()) {
				return "- " + this.path + ": " + this.before.get();
			}
			return "~ " + this.path + ": " + this.before.get() + " -> " + this.after.get();
		}

	}

}
