package org.jaywood.config;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * A field of a YAML file with its place. Reads its value as a type and reports a value of
 * another type instead of failing, so that the remaining fields are still checked.
 */
final class YamlField {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

	private static final int SHOWN_CHARS = 80;

	private final Node node;

	private final Mark mark;

	private final String path;

	private final ErrorCollector errors;

	YamlField(Node node, Mark mark, String path, ErrorCollector errors) {
		this.node = node;
		this.mark = mark;
		this.path = path;
		this.errors = errors;
	}

	String path() {
		return this.path;
	}

	int line() {
		return this.mark.getLine() + 1;
	}

	String child(String name) {
		return this.path.isEmpty() ? name : this.path + "." + name;
	}

	void error(String message) {
		this.errors.add(this.mark, this.path, message);
	}

	/**
	 * Reports a key that is no valid name of a data centre, service or workspace. Names
	 * appear in URL paths and object names.
	 */
	void checkName(String name) {
		if (!NAME.matcher(name).matches()) {
			error("name '" + shown(name)
					+ "' is not allowed: expected 1 to 63 lower-case letters, digits and inner hyphens");
		}
	}

	Optional<YamlMapping> mapping() {
		if (this.node instanceof MappingNode mapping) {
			return Optional.of(new YamlMapping(this, mapping, this.errors));
		}
		error("wrong type: expected a mapping of fields, not " + kind());
		return Optional.empty();
	}

	Optional<List<YamlField>> list() {
		if (this.node instanceof SequenceNode sequence) {
			List<Node> items = sequence.getValue();
			return Optional.of(IntStream.range(0, items.size())
				.mapToObj((i) -> new YamlField(items.get(i), items.get(i).getStartMark(), this.path + "[" + i + "]",
						this.errors))
				.toList());
		}
		error("wrong type: expected a list, not " + kind());
		return Optional.empty();
	}

	/**
	 * Reads a text that matches a pattern. Numbers are taken as written, so that a
	 * version or digest needs no quotes.
	 */
	Optional<String> text(Pattern pattern, String expected) {
		if (!(this.node instanceof ScalarNode scalar) || this.node.getTag().equals(Tag.NULL)
				|| this.node.getTag().equals(Tag.BOOL)) {
			error("wrong type: expected " + expected + ", not " + kind());
			return Optional.empty();
		}
		if (!pattern.matcher(scalar.getValue()).matches()) {
			error("value '" + shown(scalar.getValue()) + "' is not allowed: expected " + expected);
			return Optional.empty();
		}
		return Optional.of(scalar.getValue());
	}

	Optional<Boolean> bool() {
		if (this.node instanceof ScalarNode scalar && this.node.getTag().equals(Tag.BOOL)) {
			return Optional.of(List.of("true", "yes", "on").contains(scalar.getValue().toLowerCase(Locale.ROOT)));
		}
		error("wrong type: expected true or false, not " + kind());
		return Optional.empty();
	}

	/**
	 * Reads a whole number within bounds.
	 */
	Optional<Long> number(long lowest, long highest) {
		if (!(this.node instanceof ScalarNode scalar) || !this.node.getTag().equals(Tag.INT)) {
			error("wrong type: expected a whole number, not " + kind());
			return Optional.empty();
		}
		try {
			long value = Long.parseLong(scalar.getValue());
			if (value >= lowest && value <= highest) {
				return Optional.of(value);
			}
		}
		catch (NumberFormatException ex) {
			// Other notations and numbers that are too large are reported below.
		}
		error("value " + shown(scalar.getValue()) + " is not allowed: expected " + lowest + " to " + highest);
		return Optional.empty();
	}

	private String kind() {
		return switch (this.node) {
			case MappingNode mapping -> "a mapping";
			case SequenceNode sequence -> "a list";
			case ScalarNode scalar when scalar.getTag().equals(Tag.NULL) -> "nothing";
			case ScalarNode scalar -> "'" + shown(scalar.getValue()) + "'";
			default -> "this";
		};
	}

	private static String shown(String value) {
		return (value.length() <= SHOWN_CHARS) ? value : value.substring(0, SHOWN_CHARS) + "...";
	}

}
