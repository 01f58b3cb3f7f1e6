package org.jaywood.http;

import java.io.IOException;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.MalformedChunkCodingException;

/**
 * Checks the lines of a chunked body and of its trailers as they arrive (RFC 9112,
 * section 7.1). HttpCore accepts a sign and blanks around a size, and LF alone behind a
 * chunk: a chunk of 4 bytes with a size of 5 then had the CR as its last byte.
 */
final class ChunkSyntax {

	/** Size with extensions, which are ignored. */
	private static final Pattern SIZE_LINE = Pattern.compile("[0-9A-Fa-f]+([ \t]*;.*)?", Pattern.DOTALL);

	private static final Pattern LAST_SIZE_LINE = Pattern.compile("0+([ \t;].*)?", Pattern.DOTALL);

	private final FieldSyntax trailers = new FieldSyntax();

	/** Part of the body to which the next line belongs. */
	private Part next = Part.SIZE;

	/**
	 * Starts the next body.
	 */
	void start() {
		this.next = Part.SIZE;
		this.trailers.start();
	}

	/**
	 * Whether the line that ends the trailers has been read.
	 */
	boolean complete() {
		return this.next == Part.COMPLETE;
	}

	/**
	 * Checks the next line.
	 * @param endComplete whether the line ended with CR and LF
	 * @throws IOException if the line cannot stand there
	 */
	void check(CharSequence line, boolean endComplete) throws IOException {
		this.next = switch (this.next) {
			case SIZE -> afterSize(line, endComplete);
			case END_OF_DATA -> afterData(line, endComplete);
			case TRAILER -> afterTrailer(line);
			case COMPLETE -> throw new MalformedChunkCodingException("a line behind the trailers");
		};
	}

	private static Part afterSize(CharSequence line, boolean endComplete) throws MalformedChunkCodingException {
		if (!endComplete || !SIZE_LINE.matcher(line).matches() || !FieldSyntax.isContent(line)) {
			throw new MalformedChunkCodingException("a line is no size of a chunk");
		}
		return LAST_SIZE_LINE.matcher(line).matches() ? Part.TRAILER : Part.END_OF_DATA;
	}

	private static Part afterData(CharSequence line, boolean endComplete) throws MalformedChunkCodingException {
		if (!endComplete || !line.isEmpty()) {
			throw new MalformedChunkCodingException("a chunk does not end at its size");
		}
		return Part.SIZE;
	}

	private Part afterTrailer(CharSequence line) throws IOException {
		if (line.isEmpty()) {
			return Part.COMPLETE;
		}
		this.trailers.check(line);
		return Part.TRAILER;
	}

	/**
	 * Parts of a chunked body that are lines, and its end.
	 */
	private enum Part {

		SIZE, END_OF_DATA, TRAILER, COMPLETE

	}

}
