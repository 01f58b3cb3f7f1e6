package org.jaywood.bench;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Decodes the chunked body of an HTTP response from a raw socket. Throws an
 * {@link EOFException} if the stream ends without the final chunk, so that a truncated
 * response is never taken for a complete one.
 */
final class ChunkedBody extends InputStream {

	private static final int MAX_LINE_BYTES = 8_192;

	private final InputStream in;

	private long remainingChunkBytes;

	private boolean beforeFirstChunk = true;

	private boolean finalChunkRead;

	ChunkedBody(InputStream in) {
		this.in = in;
	}

	/**
	 * Reads the status line and headers of the response.
	 * @return the HTTP status
	 */
	int readHead() throws IOException {
		String[] status = readLine().split(" ");
		String line = readLine();
		while (!line.isEmpty()) {
			line = readLine();
		}
		return Integer.parseInt(status[1]);
	}

	@Override
	public int read() throws IOException {
		if (this.remainingChunkBytes == 0 && !nextChunk()) {
			return -1;
		}
		this.remainingChunkBytes--;
		return readByte();
	}

	private boolean nextChunk() throws IOException {
		if (this.finalChunkRead) {
			return false;
		}
		if (!this.beforeFirstChunk) {
			readLine();
		}
		this.beforeFirstChunk = false;
		this.remainingChunkBytes = Long.parseLong(readLine().split(";")[0].strip(), 16);
		this.finalChunkRead = this.remainingChunkBytes == 0;
		return !this.finalChunkRead;
	}

	String readLine() throws IOException {
		return readLine(this::readByte);
	}

	/**
	 * Reads a line of the decoded body.
	 */
	String readBodyLine() throws IOException {
		return readLine(this::read);
	}

	private static String readLine(ByteSource source) throws IOException {
		byte[] line = new byte[256];
		int length = 0;
		for (int next = source.read(); next != '\n'; next = source.read()) {
			if (next < 0) {
				throw new EOFException("reply ended within a line");
			}
			if (length == MAX_LINE_BYTES) {
				throw new IOException("line exceeds " + MAX_LINE_BYTES + " bytes");
			}
			line = (length == line.length) ? Arrays.copyOf(line, 2 * length) : line;
			line[length++] = (byte) next;
		}
		return new String(line, 0, length, StandardCharsets.UTF_8).stripTrailing();
	}

	private int readByte() throws IOException {
		int next = this.in.read();
		if (next < 0) {
			throw new EOFException("reply was cut");
		}
		return next;
	}

	/**
	 * Source of the bytes of a line.
	 */
	@FunctionalInterface
	private interface ByteSource {

		int read() throws IOException;

	}

}
