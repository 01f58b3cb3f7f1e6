package org.jaywood.gateway;

import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

/**
 * Checks that the events of a stream follow each other without a gap. The events of a
 * stream are numbered from 1; one that is resumed goes on after the event that its caller
 * has. An event that does not continue the sequence is not counted: either its id is
 * wrong, or events before it are missing.
 */
final class EventSequence {

	private static final long FIRST_ID = 1;

	/** The next id is not known, so that any number may follow. */
	private static final long UNKNOWN = -1;

	/** A number without sign or leading zeros that fits a long. */
	private static final Pattern NUMBER = Pattern.compile("0|[1-9][0-9]{0,17}");

	/** Part of an invalid id that is logged. */
	private static final int MAX_LOGGED_CHARS = 32;

	private final boolean idsRequired;

	private long nextId;

	private boolean idsSeen;

	private @Nullable String lastId;

	/**
	 * Creates a sequence.
	 * @param idsRequired whether each event must have an id and data, as in a stream that
	 * may be resumed; otherwise a stream may do without, but one that has begun to number
	 * its events must go on
	 * @param precedingId id of the event after which the stream is resumed, or null if it
	 * is read from its start
	 */
	EventSequence(boolean idsRequired, @Nullable String precedingId) {
		this.idsRequired = idsRequired;
		this.lastId = precedingId;
		this.nextId = (precedingId != null) ? idAfter(precedingId, idsRequired) : FIRST_ID;
	}

	private static long idAfter(String precedingId, boolean idsRequired) {
		// A stream that may not be resumed may ignore the id and begin at its start.
		boolean known = idsRequired && NUMBER.matcher(precedingId).matches();
		return known ? Long.parseLong(precedingId) + 1 : UNKNOWN;
	}

	/**
	 * Returns the id of the last event that continued the sequence, or of the one after
	 * which the stream was resumed, or null if there was none.
	 */
	@Nullable String lastId() {
		return this.lastId;
	}

	/**
	 * Adds an event, unless it does not continue the sequence.
	 * @return null if the event was added, or what is wrong with it
	 */
	@Nullable String add(EventFields event) {
		String violation = violation(event);
		if (violation != null) {
			return violation;
		}
		String id = event.id();
		if (id != null) {
			this.idsSeen = true;
			this.lastId = id;
			this.nextId = Long.parseLong(id) + 1;
		}
		else if (this.nextId != UNKNOWN) {
			this.nextId++;
		}
		return null;
	}

	private @Nullable String violation(EventFields event) {
		String id = event.id();
		if (this.idsRequired && event.malformed()) {
			return "event with a malformed line";
		}
		if (this.idsRequired && !event.data()) {
			return "event without data";
		}
		if (event.ids() > 1) {
			return "event with " + event.ids() + " ids";
		}
		if (id == null) {
			return (this.idsRequired || this.idsSeen) ? "event without an id" : null;
		}
		if (!NUMBER.matcher(id).matches()) {
			return "event id " + abbreviate(id) + " is no number";
		}
		return (this.nextId == UNKNOWN || Long.parseLong(id) == this.nextId) ? null
				: "event " + id + " does not continue the sequence, expected " + this.nextId;
	}

	private static String abbreviate(String id) {
		return id.substring(0, Math.min(id.length(), MAX_LOGGED_CHARS));
	}

}
