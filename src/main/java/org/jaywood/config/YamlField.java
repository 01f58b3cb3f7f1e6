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
 * A field of a YAML file with its position. Its methods read the value as one type; for a
 * value of another type they report an error instead of throwing an exception, so that
 * the remaining fields are still checked.
 */
final class YamlField {

	private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

	private static final int MAX_QUOTED_CHARS = 80;

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

	String childPath(String name) {
		return this.path.isEmpty() ? name : this.path + "." + name;
	}

	void addError(String message) {
		this.errors.add(this.mark, this.path, message);
	}

	/**
	 * Reports an error if a key is not a valid name of a data centre, service or
	 * workspace. Names appear in URL paths and object names.
	 */
	void checkName(String name) {
		if (!NAME.matcher(name).matches()) {
			addError("name '" + truncate(name)
					+ "' is not allowed: expected 1 to 63 lower-case letters, digits and inner hyphens");
		}
	}

	Optional<YamlMapping> mapping() {
		if (this.node instanceof MappingNode mapping) {
			return Optional.of(new YamlMapping(this, mapping, this.errors));
		}
		addError("wrong type: expected a mapping of fields, not " + describeValue());
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
		addError("wrong type: expected a list, not " + describeValue());
		return Optional.empty();
	}

	/**
	 * Reads a text that matches a pattern. A number is read as the text in the file, so
	 * that a version or digest needs no quotes.
	 */
	Optional<String> text(Pattern pattern, String expected) {
		if (!(this.node instanceof ScalarNode scalar) || this.node.getTag().equals(Tag.NULL)
				|| this.node.getTag().equals(Tag.BOOL)) {
			addError("wrong type: expected " + expected + ", not " + describeValue());
			return Optional.empty();
		}
		if (!pattern.matcher(scalar.getValue()).matches()) {
			addError("value '" + truncate(scalar.getValue()) + "' is not allowed: expected " + expected);
			return Optional.empty();
		}
		return Optional.of(scalar.getValue());
	}

	Optional<Boolean> bool() {
		if (this.node instanceof ScalarNode scalar && this.node.getTag().equals(Tag.BOOL)) {
			return Optional.of(List.of("true", "yes", "on").contains(scalar.getValue().toLowerCase(Locale.ROOT)));
		}
		addError("wrong type: expected true or false, not " + describeValue());
		return Optional.empty();
	}

	/**
	 * Reads a whole number between two bounds, both inclusive.
	 */
	Optional<Long> number(long min, long max) {
		if (!(this.node instanceof ScalarNode scalar) || !this.node.getTag().equals(Tag.INT)) {
			addError("wrong type: expected a whole number, not " + describeValue());
			return Optional.empty();
		}
		try {
			long value = Long.parseLong(scalar.getValue());
			if (value >= min && value <= max) {
				return Optional.of(value);
			}
		}
		catch (NumberFormatException ex) {
			// The number is in another notation or too large; reported below.
		}
		addError("value " + truncate(scalar.getValue()) + " is not allowed: expected " + min + " to " + max);
		return Optional.empty();
	}

	private String describeValue() {
		return switch (this.node) {
			case MappingNode mapping -> "a mapping";
			case SequenceNode sequence -> "a list";
			case ScalarNode scalar when scalar.getTag().equals(Tag.NULL) -> "nothing";
			case ScalarNode scalar -> "'" + truncate(scalar.getValue()) + "'";
			default -> "this";
		};
	}

	private static String truncate(String value) {
		return (value.length() <= MAX_QUOTED_CHARS) ? value : value.substring(0, MAX_QUOTED_CHARS) + "...";
	}

}
