package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of an event stream behind its last whole event, since an upstream may
 * stop within one, and notes the id of the last event passed on. Used by one thread.
 */
final class EventCutter {

	private static final String ID_FIELD = "id:";

	/** Largest event; nobody could go on behind a longer one without holding it whole. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Bytes before a position that tell whether an event ends there. */
	private static final int END_BYTES = 2;

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private byte[] tail = new byte[0];

	private @Nullable String lastId;

	private @Nullable String firstId;

	private @Nullable String resumedAfter;

	/**
	 * Takes bytes of the stream.
	 * @return the events that are whole now, possibly none
	 * @throws IOException if an event is too large to be held
	 */
	byte[] append(byte[] bytes, int length) throws IOException {
		int end = endOfLastEvent(bytes, length);
		if (end == 0) {
			hold(bytes, 0, length);
			return new byte[0];
		}
		this.partial.write(bytes, 0, end);
		byte[] whole = this.partial.toByteArray();
		this.partial.reset();
		this.tail = new byte[0];
		hold(bytes, end, length - end);
		noteIds(whole);
		return whole;
	}

	private void hold(byte[] bytes, int offset, int length) throws IOException {
		if (this.partial.size() + length > MAX_EVENT_BYTES) {
			throw new IOException("an event exceeds " + MAX_EVENT_BYTES + " bytes");
		}
		this.partial.write(bytes, offset, length);
		byte[] joined = join(this.tail, Arrays.copyOfRange(bytes, offset, offset + length));
		this.tail = Arrays.copyOfRange(joined, Math.max(0, joined.length - END_BYTES), joined.length);
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
		this.tail = new byte[0];
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
