package org.jaywood.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * A YAML mapping whose keys are checked: each is a scalar and occurs once.
 */
final class YamlMapping {

	private final YamlField self;

	private final ErrorCollector errors;

	private final Map<String, YamlField> fields = new LinkedHashMap<>();

	YamlMapping(YamlField self, MappingNode node, ErrorCollector errors) {
		this.self = self;
		this.errors = errors;
		node.getValue().forEach(this::add);
	}

	private void add(NodeTuple tuple) {
		if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
			this.errors.add(tuple.getKeyNode().getStartMark(), this.self.path(), "a key must be a plain word");
			return;
		}
		String name = key.getValue();
		YamlField field = new YamlField(tuple.getValueNode(), key.getStartMark(), this.self.child(name), this.errors);
		YamlField first = this.fields.putIfAbsent(name, field);
		if (first != null) {
			field.error("duplicate key, already given in line " + first.line());
		}
	}

	Map<String, YamlField> fields() {
		return this.fields;
	}

	@Nullable YamlField field(String name) {
		return this.fields.get(name);
	}

	/**
	 * Returns a field and reports its absence.
	 */
	@Nullable YamlField required(String name, String expected) {
		YamlField field = this.fields.get(name);
		if (field == null) {
			this.self.error("field '" + name + "' is missing: expected " + expected);
		}
		return field;
	}

	/**
	 * Reports each field that is not known.
	 */
	YamlMapping allow(Set<String> known) {
		this.fields.forEach((name, field) -> {
			if (!known.contains(name)) {
				field.error("unknown field, allowed are " + known.stream().sorted().toList());
			}
		});
		return this;
	}

}
