package org.jaywood.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Splits the bytes of an event stream after its last complete event, since an upstream
 * may stop within one, and accepts only events that continue the sequence of ids. One
 * framer reads the part of a stream that one attempt sends. Not safe for use by several
 * threads.
 */
final class EventStreamFramer {

	/**
	 * Largest event with the comments before it, since a stream can be resumed only if
	 * its events are buffered.
	 */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Bytes before a position that are needed to detect the end of an event there. */
	private static final int TERMINATOR_LOOKBACK_BYTES = 2;

	private final EventSequence sequence;

	private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();

	private byte[] tail = new byte[0];

	private int events;

	/** Bytes after the last complete event: comments and a part of the next event. */
	private int bytesSinceEvent;

	private @Nullable String violation;

	/**
	 * Creates a framer.
	 * @param idsRequired whether each event must have an id, as in a stream that may be
	 * resumed
	 * @param resumedAfter id of the event after which the stream is resumed, or null if
	 * it is read from its start
	 */
	EventStreamFramer(boolean idsRequired, @Nullable String resumedAfter) {
		this.sequence = new EventSequence(idsRequired, resumedAfter);
	}

	/**
	 * Appends bytes of the stream.
	 * @return the events that are complete now, possibly none; those before an event that
	 * does not continue the sequence are returned first
	 * @throws IOException if too many bytes arrive without an event, or one does not
	 * continue the sequence
	 */
	byte[] append(byte[] bytes, int length) throws IOException {
		requireNoViolation();
		this.bytesSinceEvent += length;
		byte[] complete = takeComplete(bytes, length);
		if (this.bytesSinceEvent > MAX_EVENT_BYTES) {
			throw new IOException("more than " + MAX_EVENT_BYTES + " bytes without an event");
		}
		return complete;
	}

	private byte[] takeComplete(byte[] bytes, int length) throws IOException {
		int end = endOfLastEvent(bytes, length);
		if (end == 0) {
			bufferPartialEvent(bytes, 0, length);
			return new byte[0];
		}
		this.partialEvent.write(bytes, 0, end);
		byte[] complete = this.partialEvent.toByteArray();
		this.partialEvent.reset();
		this.tail = new byte[0];
		bufferPartialEvent(bytes, end, length - end);
		int validLength = checkEvents(new String(complete, StandardCharsets.ISO_8859_1));
		if (validLength == 0) {
			requireNoViolation();
		}
		return Arrays.copyOf(complete, validLength);
	}

	private void bufferPartialEvent(byte[] bytes, int offset, int length) {
		this.partialEvent.write(bytes, offset, length);
		byte[] joined = join(this.tail, Arrays.copyOfRange(bytes, offset, offset + length));
		this.tail = Arrays.copyOfRange(joined, Math.max(0, joined.length - TERMINATOR_LOOKBACK_BYTES), joined.length);
	}

	/**
	 * Returns the bytes after the last complete event.
	 * @throws IOException if an event did not continue the sequence
	 */
	byte[] remainingBytes() throws IOException {
		requireNoViolation();
		return this.partialEvent.toByteArray();
	}

	/**
	 * Returns the number of bytes kept of the next event.
	 */
	int bufferedBytes() {
		return this.partialEvent.size();
	}

	/**
	 * Returns the id of the last complete event, or of the one after which the stream was
	 * resumed, or null if there was none.
	 */
	@Nullable String lastEventId() {
		return this.sequence.lastId();
	}

	/**
	 * Returns the number of complete events so far. Comments and empty lines do not
	 * count.
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the position after the last event that ends within new bytes, 0 if none
	 * does.
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
	 * Checks complete events and counts them.
	 * @return length of the events before the first one that does not continue the
	 * sequence
	 */
	private int checkEvents(String complete) {
		int begin = 0;
		int at = 0;
		EventFields event = new EventFields();
		while (at < complete.length()) {
			int end = endOfLine(complete, at);
			int next = startOfNextLine(complete, end);
			if (end > at) {
				event.add(complete.substring(at, end));
			}
			else if (!event.empty()) {
				this.violation = this.sequence.add(event);
				if (this.violation != null) {
					return begin;
				}
				this.events++;
				this.bytesSinceEvent = complete.length() - next + this.partialEvent.size();
				begin = next;
				event = new EventFields();
			}
			at = next;
		}
		return complete.length();
	}

	private static int endOfLine(String text, int begin) {
		int end = begin;
		while (end < text.length() && text.charAt(end) != '\n' && text.charAt(end) != '\r') {
			end++;
		}
		return end;
	}

	private static int startOfNextLine(String text, int end) {
		return end + (text.startsWith("\r\n", end) ? 2 : 1);
	}

	private void requireNoViolation() throws IOException {
		if (this.violation != null) {
			throw new IOException(this.violation);
		}
	}

}
