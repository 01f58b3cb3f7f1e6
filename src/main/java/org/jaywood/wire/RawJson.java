package org.jaywood.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Unparsed value within a JSON text, delimited only by brackets, commas and strings, so
 * that an unreadable value does not prevent its neighbours from being read. Needs no
 * memory per nesting level, whatever the text contains.
 */
public final class RawJson {

	/** Length of the longest escape of a character. */
	private static final int MAX_ESCAPE_BYTES = 6;

	private final byte[] bytes;

	private final int startIndex;

	private final int endIndex;

	private RawJson(byte[] bytes, int startIndex, int endIndex) {
		this.bytes = bytes;
		this.startIndex = startIndex;
		this.endIndex = endIndex;
	}

	/**
	 * Returns the value that is a whole text.
	 */
	public static RawJson of(byte[] bytes) {
		return new RawJson(bytes, 0, bytes.length);
	}

	/**
	 * Reads the value.
	 * @throws BadInputException if it is malformed or exceeds the limits of {@link Json}
	 */
	public JsonNode tree() {
		return Json.tree(this.bytes, this.startIndex, this.endIndex - this.startIndex);
	}

	/**
	 * Whether the value is the literal {@code null}.
	 */
	public boolean isNull() {
		int position = skipWhitespace(this.startIndex);
		return hasByte(position, 'n') && hasByte(position + 1, 'u') && hasByte(position + 2, 'l')
				&& hasByte(position + 3, 'l') && skipWhitespace(position + 4) == this.endIndex;
	}

	private boolean isBlank() {
		return skipWhitespace(this.startIndex) == this.endIndex;
	}

	/**
	 * Returns a hash of the bytes.
	 */
	public long hash() {
		return Hashing.xxh3_64().hashBytesToLong(this.bytes, this.startIndex, this.endIndex - this.startIndex);
	}

	/**
	 * Finds a member of an object, the last one if several have this name. A value that
	 * is no object has no members.
	 * @throws BadInputException if the object is not terminated
	 */
	public Optional<RawJson> member(String name) {
		int position = skipWhitespace(this.startIndex);
		if (!hasByte(position, '{')) {
			return Optional.empty();
		}
		Optional<RawJson> found = Optional.empty();
		int end;
		do {
			position = skipWhitespace(position + 1);
			end = endOfValue(position);
			Optional<RawJson> value = valueIfNamed(name, position, end);
			found = value.isPresent() ? value : found;
			position = end;
		}
		while (hasByte(end, ','));
		requireByte(end, '}');
		return found;
	}

	/**
	 * Returns the elements of an array.
	 * @throws BadInputException if the value is no array or is not terminated
	 */
	public List<RawJson> elements() {
		int position = skipWhitespace(this.startIndex);
		requireByte(position, '[');
		List<RawJson> elements = new ArrayList<>();
		int end;
		do {
			end = endOfValue(position + 1);
			elements.add(new RawJson(this.bytes, position + 1, end));
			position = end;
		}
		while (hasByte(end, ','));
		requireByte(end, ']');
		return (elements.size() == 1 && elements.getFirst().isBlank()) ? List.of() : elements;
	}

	/**
	 * Returns the value of a member if it has this name.
	 * @param start index at which the member begins, with its name
	 * @param end index after the member
	 */
	private Optional<RawJson> valueIfNamed(String name, int start, int end) {
		if (start >= end || !hasByte(start, '"')) {
			return Optional.empty();
		}
		int nameEnd = endOfString(start);
		int colon = skipWhitespace(nameEnd);
		boolean named = nameEnd - start <= MAX_ESCAPE_BYTES * name.length() + 2 && colon < end && hasByte(colon, ':')
				&& name.equals(text(start, nameEnd));
		return named ? Optional.of(new RawJson(this.bytes, colon + 1, end)) : Optional.empty();
	}

	private String text(int start, int end) {
		try {
			return Json.tree(this.bytes, start, end - start).asText();
		}
		catch (BadInputException ex) {
			// An unreadable name does not match.
			return "";
		}
	}

	/**
	 * Returns the index of the comma or bracket after a value, or the end of this value
	 * if there is none.
	 */
	private int endOfValue(int start) {
		int depth = 0;
		int position = start;
		while (position < this.endIndex) {
			switch (this.bytes[position]) {
				case '"' -> position = endOfString(position) - 1;
				case '{', '[' -> depth++;
				case '}', ']' -> depth--;
				default -> {
				}
			}
			if (depth < 0 || (depth == 0 && hasByte(position, ','))) {
				return position;
			}
			position++;
		}
		return this.endIndex;
	}

	private int endOfString(int start) {
		for (int position = start + 1; position < this.endIndex; position++) {
			if (hasByte(position, '"')) {
				return position + 1;
			}
			position += hasByte(position, '\\') ? 1 : 0;
		}
		throw new BadInputException(400, "JSON string does not end");
	}

	private int skipWhitespace(int start) {
		int position = start;
		while (hasByte(position, ' ') || hasByte(position, '\n') || hasByte(position, '\r')
				|| hasByte(position, '\t')) {
			position++;
		}
		return position;
	}

	private boolean hasByte(int position, char expected) {
		return position < this.endIndex && this.bytes[position] == expected;
	}

	private void requireByte(int position, char expected) {
		if (!hasByte(position, expected)) {
			throw new BadInputException(400, "malformed JSON: " + expected + " is missing");
		}
	}

}
