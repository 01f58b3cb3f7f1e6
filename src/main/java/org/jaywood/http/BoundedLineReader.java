package org.jaywood.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

import org.jspecify.annotations.Nullable;

/**
 * Lines of a stream of another process, of bounded length, so that a line without end
 * takes no memory. Used by one thread.
 */
public final class BoundedLineReader {

	private final InputStream in;

	private final int maxBytes;

	/**
	 * Creates a reader.
	 * @param in the stream
	 * @param maxBytes longest line
	 */
	public BoundedLineReader(InputStream in, int maxBytes) {
		this.in = new BufferedInputStream(in);
		this.maxBytes = maxBytes;
	}

	/**
	 * Reads a line.
	 * @return the line without its end, or null at the end of the stream; a line that the
	 * end cuts off is dropped
	 * @throws IOException if the line is too long or the stream breaks
	 */
	public byte @Nullable [] nextLine() throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = this.in.read(); next != '\n'; next = this.in.read()) {
			if (next < 0) {
				return null;
			}
			if (line.size() >= this.maxBytes) {
				throw new IOException("a line exceeds " + this.maxBytes + " bytes");
			}
			line.write(next);
		}
		return line.toByteArray();
	}

}
