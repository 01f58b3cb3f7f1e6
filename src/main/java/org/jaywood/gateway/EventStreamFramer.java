package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of an event stream behind its last whole event, since an upstream may
 * stop within one, and notes the id of the last event. Of a stream that may be resumed it
 * accepts only events with ids that go on. One cutter reads one run of a stream. Used by
 * one thread.
 */
final class EventStreamFramer {

	private static final String ID_FIELD = "id:";

	private static final String COMMENT = ":";

	/** Largest event; nobody could go on behind a longer one without holding it whole. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Bytes before a position that tell whether an event ends there. */
	private static final int TERMINATOR_LOOKBACK_BYTES = 2;

	private final boolean requiresIds;

	private final boolean resumed;

	private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

	private byte[] tail = new byte[0];

	private @Nullable String lastEventId;

	private int events;

	private @Nullable String violation;

	/**
	 * Creates a cutter.
	 * @param numbered whether each event must have an id that goes on behind the one
	 * before, as in a stream that may be resumed
	 * @param resumedAfter id of the event behind which the run begins, or null if it
	 * begins the stream
	 */
	EventStreamFramer(boolean numbered, @Nullable String resumedAfter) {
		this.requiresIds = numbered;
		this.resumed = resumedAfter != null;
		this.lastEventId = resumedAfter;
	}

	/**
	 * Takes bytes of the stream.
	 * @return the events that are whole now, possibly none; those before one that does
	 * not go on behind them are returned first
	 * @throws IOException if an event is too large to be held, or does not go on behind
	 * the one before
	 */
	byte[] append(byte[] bytes, int length) throws IOException {
		requireNoViolation();
		int end = endOfLastEvent(bytes, length);
		if (end == 0) {
			bufferPartialEvent(bytes, 0, length);
			return new byte[0];
		}
		this.partialEvent.write(bytes, 0, end);
		byte[] whole = this.partialEvent.toByteArray();
		this.partialEvent.reset();
		this.tail = new byte[0];
		bufferPartialEvent(bytes, end, length - end);
		int sound = checkIds(new String(whole, StandardCharsets.ISO_8859_1));
		if (sound == 0) {
			requireNoViolation();
		}
		return Arrays.copyOf(whole, sound);
	}

	private void bufferPartialEvent(byte[] bytes, int offset, int length) throws IOException {
		if (this.partialEvent.size() + length > MAX_EVENT_BYTES) {
			throw new IOException("an event exceeds " + MAX_EVENT_BYTES + " bytes");
		}
		this.partialEvent.write(bytes, offset, length);
		byte[] joined = join(this.tail, Arrays.copyOfRange(bytes, offset, offset + length));
		this.tail = Arrays.copyOfRange(joined, Math.max(0, joined.length - TERMINATOR_LOOKBACK_BYTES), joined.length);
	}

	/**
	 * Bytes behind the last whole event.
	 * @throws IOException if an event did not go on behind the one before
	 */
	byte[] remainingBytes() throws IOException {
		requireNoViolation();
		return this.partialEvent.toByteArray();
	}

	/**
	 * Id of the last whole event, or of the one behind which the run begins, or null if
	 * there was none.
	 */
	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Number of whole events so far. Comments and empty lines are none.
	 */
	int events() {
		return this.events;
	}

	/**
	 * Position behind the last event that ends in new bytes, 0 if none does.
	 */
	private int endOfLastEvent(byte[] bytes, int length) {
		byte[] joined = join(this.tail, Arrays.copyOf(bytes, length));
		for (int i = joined.length - 1; i >= Math.max(1, this.tail.length); i--) {
			boolean newline = joined[i] == '\n';
			boolean blank = joined[i - 1] == '\n' || (i > 1 && joined[i - 1] == '\r' && joined[i - 2] == '\n');
			if (newline && blank) {
				return i + 1 - this.tail.length;
			}
		}
		return 0;
	}

	private static byte[] join(byte[] first, byte[] second) {
		byte[] joined = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, joined, first.length, second.length);
		return joined;
	}

	/**
	 * Follows the ids of whole events.
	 * @return length of the events that go on one behind the other
	 */
	private int checkIds(String whole) {
		int begin = 0;
		String id = null;
		boolean inEvent = false;
		for (int at = 0; at < whole.length();) {
			int next = whole.indexOf('\n', at) + 1;
			String line = whole.substring(at, next).strip();
			at = next;
			if (line.startsWith(ID_FIELD)) {
				id = line.substring(ID_FIELD.length()).strip();
			}
			inEvent |= !line.isEmpty() && !line.startsWith(COMMENT);
			if (line.isEmpty() && inEvent) {
				this.violation = violation(id);
				if (this.violation != null) {
					return begin;
				}
				this.lastEventId = (id != null) ? id : this.lastEventId;
				this.events++;
				begin = next;
				id = null;
				inEvent = false;
			}
		}
		return whole.length();
	}

	private void requireNoViolation() throws IOException {
		if (this.violation != null) {
			throw new IOException(this.violation);
		}
	}

	/**
	 * What is wrong with an event of this id, or null if it goes on behind the last one.
	 */
	private @Nullable String violation(@Nullable String id) {
		String last = this.lastEventId;
		if (!this.requiresIds) {
			return null;
		}
		if (id == null) {
			return "an event without an id";
		}
		return (last == null || isSuccessor(last, id)) ? null : "event " + id + " does not go on behind event " + last;
	}

	/**
	 * Whether an event goes on behind another one. Nothing may be missing where a stream
	 * was resumed.
	 */
	private boolean isSuccessor(String last, String id) {
		try {
			long step = Long.parseLong(id) - Long.parseLong(last);
			return (this.resumed && this.events == 0) ? step == 1 : step > 0;
		}
		catch (NumberFormatException ex) {
			return !id.equals(last);
		}
	}

}
