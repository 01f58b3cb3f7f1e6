package org.jaywood.gateway;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What the lines of one event of a stream say about its place in the stream.
 */
final class EventFields {

	private static final String ID = "id";

	private static final String DATA = "data";

	/** Fields of an event stream; other ones are extensions. */
	private static final Set<String> STANDARD_FIELDS = Set.of(ID, DATA, "event", "retry");

	private static final String COMMENT = ":";

	private int ids;

	private @Nullable String id;

	private boolean dataSeen;

	private boolean standardFieldSeen;

	private boolean fieldSeen;

	private boolean malformed;

	/**
	 * Adds a line.
	 * @param line the line without its end, not empty
	 */
	void add(String line) {
		if (line.startsWith(COMMENT)) {
			this.malformed |= this.standardFieldSeen
					&& STANDARD_FIELDS.contains(name(line.substring(COMMENT.length())));
			return;
		}
		this.fieldSeen = true;
		String name = name(line);
		if (!STANDARD_FIELDS.contains(name)) {
			this.malformed |= this.standardFieldSeen;
			return;
		}
		this.standardFieldSeen = true;
		this.dataSeen |= name.equals(DATA);
		if (name.equals(ID)) {
			this.ids++;
			this.id = value(line);
		}
	}

	private static String name(String line) {
		int colon = line.indexOf(':');
		return (colon >= 0) ? line.substring(0, colon) : line;
	}

	/**
	 * Returns the value of a field, without the one space that may precede it.
	 */
	private static String value(String line) {
		int colon = line.indexOf(':');
		if (colon < 0) {
			return "";
		}
		int begin = line.startsWith(" ", colon + 1) ? colon + 2 : colon + 1;
		return line.substring(begin);
	}

	/**
	 * Whether there is no line but comments.
	 */
	boolean empty() {
		return !this.fieldSeen;
	}

	/**
	 * Returns the number of lines that hold an id.
	 */
	int ids() {
		return this.ids;
	}

	/**
	 * Returns the last id, or null if there is none.
	 */
	@Nullable String id() {
		return this.id;
	}

	/**
	 * Whether there is data, without which a caller does not see the event.
	 */
	boolean data() {
		return this.dataSeen;
	}

	/**
	 * Whether a line that is no field of an event stream follows one that is, or a
	 * comment that holds a field. Extensions come first, so the name of a field is wrong,
	 * or the end of an event before it.
	 */
	boolean malformed() {
		return this.malformed;
	}

}
