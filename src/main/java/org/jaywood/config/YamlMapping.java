package org.jaywood.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * A YAML mapping. Reports each key that is not a scalar or occurs more than once.
 */
final class YamlMapping {

	private final YamlField mappingField;

	private final ErrorCollector errors;

	private final Map<String, YamlField> fields = new LinkedHashMap<>();

	YamlMapping(YamlField self, MappingNode node, ErrorCollector errors) {
		this.mappingField = self;
		this.errors = errors;
		node.getValue().forEach(this::addField);
	}

	private void addField(NodeTuple tuple) {
		if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
			this.errors.add(tuple.getKeyNode().getStartMark(), this.mappingField.path(), "a key must be a plain word");
			return;
		}
		String name = key.getValue();
		YamlField field = new YamlField(tuple.getValueNode(), key.getStartMark(), this.mappingField.childPath(name),
				this.errors);
		YamlField firstField = this.fields.putIfAbsent(name, field);
		if (firstField != null) {
			field.addError("duplicate key, already given in line " + firstField.line());
		}
	}

	Map<String, YamlField> fields() {
		return this.fields;
	}

	@Nullable YamlField field(String name) {
		return this.fields.get(name);
	}

	/**
	 * Returns a field, or reports an error and returns null if it is missing.
	 */
	@Nullable YamlField required(String name, String expected) {
		YamlField field = this.fields.get(name);
		if (field == null) {
			this.mappingField.addError("field '" + name + "' is missing: expected " + expected);
		}
		return field;
	}

	/**
	 * Reports each field that is not allowed.
	 */
	YamlMapping allowOnly(Set<String> allowed) {
		this.fields.forEach((name, field) -> {
			if (!allowed.contains(name)) {
				field.addError("unknown field, allowed are " + allowed.stream().sorted().toList());
			}
		});
		return this;
	}

}
