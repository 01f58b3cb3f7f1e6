package org.jaywood.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Value within a JSON text that is told from its neighbours by brackets and strings only,
 * so that one which cannot be read does not keep the others from being read. It needs no
 * memory for each level, whatever the text holds.
 */
public final class RawJson {

	/** Bytes that the longest escape of a character takes. */
	private static final int MAX_CHAR_BYTES = 6;

	private final byte[] bytes;

	private final int from;

	private final int to;

	private RawJson(byte[] bytes, int from, int to) {
		this.bytes = bytes;
		this.from = from;
		this.to = to;
	}

	/**
	 * The whole of a text.
	 */
	public static RawJson of(byte[] bytes) {
		return new RawJson(bytes, 0, bytes.length);
	}

	/**
	 * Reads the value.
	 * @throws BadInputException if it is malformed or exceeds the bounds of {@link Json}
	 */
	public JsonNode tree() {
		return Json.tree(this.bytes, this.from, this.to - this.from);
	}

	/**
	 * Whether it is the literal {@code null}.
	 */
	public boolean isNull() {
		int at = skipBlanks(this.from);
		return is(at, 'n') && is(at + 1, 'u') && is(at + 2, 'l') && is(at + 3, 'l') && skipBlanks(at + 4) == this.to;
	}

	private boolean isBlank() {
		return skipBlanks(this.from) == this.to;
	}

	/**
	 * Hash of the bytes.
	 */
	public long hash() {
		return Hashing.xxh3_64().hashBytesToLong(this.bytes, this.from, this.to - this.from);
	}

	/**
	 * Finds a member of an object, the last one if there are several of this name. A
	 * value that is no object has none.
	 * @throws BadInputException if the object does not end
	 */
	public Optional<RawJson> member(String name) {
		int at = skipBlanks(this.from);
		if (!is(at, '{')) {
			return Optional.empty();
		}
		Optional<RawJson> found = Optional.empty();
		int end;
		do {
			at = skipBlanks(at + 1);
			end = endOfValue(at);
			Optional<RawJson> value = valueOf(name, at, end);
			found = value.isPresent() ? value : found;
			at = end;
		}
		while (is(end, ','));
		requireEnd(end, '}');
		return found;
	}

	/**
	 * The elements of an array.
	 * @throws BadInputException if it is no array or does not end
	 */
	public List<RawJson> elements() {
		int at = skipBlanks(this.from);
		requireEnd(at, '[');
		List<RawJson> elements = new ArrayList<>();
		int end;
		do {
			end = endOfValue(at + 1);
			elements.add(new RawJson(this.bytes, at + 1, end));
			at = end;
		}
		while (is(end, ','));
		requireEnd(end, ']');
		return (elements.size() == 1 && elements.getFirst().isBlank()) ? List.of() : elements;
	}

	/**
	 * The value of a member if it has this name.
	 * @param start where the member begins, with its name
	 * @param end where it ends
	 */
	private Optional<RawJson> valueOf(String name, int start, int end) {
		if (start >= end || !is(start, '"')) {
			return Optional.empty();
		}
		int nameEnd = endOfString(start);
		int colon = skipBlanks(nameEnd);
		boolean named = nameEnd - start <= MAX_CHAR_BYTES * name.length() + 2 && colon < end && is(colon, ':')
				&& name.equals(text(start, nameEnd));
		return named ? Optional.of(new RawJson(this.bytes, colon + 1, end)) : Optional.empty();
	}

	private String text(int start, int end) {
		try {
			return Json.tree(this.bytes, start, end - start).asText();
		}
		catch (BadInputException ex) {
			// A name that cannot be read is not the one sought.
			return "";
		}
	}

	/**
	 * Finds the comma or bracket behind a value, or the end of this one.
	 */
	private int endOfValue(int start) {
		int depth = 0;
		int at = start;
		while (at < this.to) {
			switch (this.bytes[at]) {
				case '"' -> at = endOfString(at) - 1;
				case '{', '[' -> depth++;
				case '}', ']' -> depth--;
				default -> {
				}
			}
			if (depth < 0 || (depth == 0 && is(at, ','))) {
				return at;
			}
			at++;
		}
		return this.to;
	}

	private int endOfString(int start) {
		for (int at = start + 1; at < this.to; at++) {
			if (is(at, '"')) {
				return at + 1;
			}
			at += is(at, '\\') ? 1 : 0;
		}
		throw new BadInputException(400, "JSON string does not end");
	}

	private int skipBlanks(int start) {
		int at = start;
		while (is(at, ' ') || is(at, '\n') || is(at, '\r') || is(at, '\t')) {
			at++;
		}
		return at;
	}

	private boolean is(int at, char expected) {
		return at < this.to && this.bytes[at] == expected;
	}

	private void requireEnd(int at, char expected) {
		if (!is(at, expected)) {
			throw new BadInputException(400, "malformed JSON: " + expected + " is missing");
		}
	}

}
