package org.jaywood.wire;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

import org.jspecify.annotations.Nullable;

/**
 * Reads lines from a stream of another process and limits their length, so that an
 * endless line cannot exhaust the memory. Used by one thread.
 */
public final class BoundedLineReader {

	private final InputStream in;

	private final int maxBytes;

	/**
	 * Creates a reader.
	 * @param in the stream
	 * @param maxBytes longest line, without its end
	 */
	public BoundedLineReader(InputStream in, int maxBytes) {
		this.in = new BufferedInputStream(in);
		this.maxBytes = maxBytes;
	}

	/**
	 * Reads a line.
	 * @return the line without its line feed, or null at the end of the stream; an
	 * incomplete last line is dropped
	 * @throws IOException if the line is too long or the stream fails
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
