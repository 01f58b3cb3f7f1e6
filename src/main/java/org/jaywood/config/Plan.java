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
	 * Compares two deployments.
	 */
	public static Plan between(Deployment before, Deployment after) {
		Map<String, String> oldFields = fields(before);
		Map<String, String> newFields = fields(after);
		TreeSet<String> paths = new TreeSet<>(oldFields.keySet());
		paths.addAll(newFields.keySet());
		return new Plan(paths.stream()
			.map((path) -> new Change(path, Optional.ofNullable(oldFields.get(path)),
					Optional.ofNullable(newFields.get(path))))
			.filter((change) -> !change.before().equals(change.after()))
			.toList());
	}

	private static Map<String, String> fields(Deployment deployment) {
		Map<String, String> fields = new TreeMap<>();
		collect("", Json.mapper().valueToTree(deployment), fields);
		return fields;
	}

	private static void collect(String path, JsonNode node, Map<String, String> fields) {
		if (node.isObject()) {
			node.properties()
				.forEach((entry) -> collect(path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(),
						entry.getValue(), fields));
		}
		else if (node.isArray()) {
			for (int i = 0; i < node.size(); i++) {
				collect(path + "[" + i + "]", node.get(i), fields);
			}
		}
		else {
			fields.put(path, node.asText());
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
