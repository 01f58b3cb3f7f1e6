package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of an event stream behind its last whole event, since an upstream may
 * stop within one, and notes the id of the last event passed on. Used by one thread.
 */
final class EventCutter {

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private @Nullable String lastId;

	private @Nullable String firstId;

	private @Nullable String resumedAfter;

	/**
	 * Takes bytes of the stream.
	 * @return the events that are whole now, possibly none
	 */
	byte[] append(byte[] bytes, int length) {
		this.partial.write(bytes, 0, length);
		byte[] held = this.partial.toByteArray();
		int end = endOfLastEvent(held);
		if (end == 0) {
			return new byte[0];
		}
		byte[] whole = Arrays.copyOf(held, end);
		this.partial.reset();
		this.partial.write(held, end, held.length - end);
		noteIds(whole);
		return whole;
	}

	/**
	 * Bytes behind the last whole event.
	 */
	byte[] rest() {
		return this.partial.toByteArray();
	}

	/**
	 * Drops the bytes of an event that will not be completed.
	 */
	void dropPartial() {
		this.partial.reset();
		this.firstId = null;
		this.resumedAfter = this.lastId;
	}

	/**
	 * Id of the last event before the stream was resumed, or null if it was not.
	 */
	@Nullable String resumedAfter() {
		return this.resumedAfter;
	}

	/**
	 * Whether the events since the stream was resumed go on where it was broken off.
	 */
	boolean continuous() {
		if (this.resumedAfter == null || this.firstId == null) {
			return true;
		}
		try {
			return Long.parseLong(this.firstId) == Long.parseLong(this.resumedAfter) + 1;
		}
		catch (NumberFormatException ex) {
			return !this.firstId.equals(this.resumedAfter);
		}
	}

	/**
	 * Id of the last whole event, or null if there was none with an id.
	 */
	@Nullable String lastId() {
		return this.lastId;
	}

	private static int endOfLastEvent(byte[] held) {
		for (int i = held.length - 1; i > 0; i--) {
			boolean newline = held[i] == '\n';
			boolean blank = held[i - 1] == '\n' || (i > 1 && held[i - 1] == '\r' && held[i - 2] == '\n');
			if (newline && blank) {
				return i + 1;
			}
		}
		return 0;
	}

	private void noteIds(byte[] whole) {
		new String(whole, StandardCharsets.ISO_8859_1).lines()
			.filter((line) -> line.startsWith(ID_FIELD))
			.map((line) -> line.substring(ID_FIELD.length()).strip())
			.forEach((id) -> {
				this.firstId = (this.firstId != null) ? this.firstId : id;
				this.lastId = id;
			});
	}

}
