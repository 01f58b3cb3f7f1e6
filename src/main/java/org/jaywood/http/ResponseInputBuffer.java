package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer for responses that detects bytes that are no response as they arrive. The
 * parsers of HttpCore detect them at the end of a line or of the head, which a faulty
 * process may never send, and accept more than the grammar: each line of a head, of a
 * chunked body and of its trailers is checked here before they interpret it.
 */
final class ResponseInputBuffer extends MessageInputBuffer {

	private static final String STATUS_LINE_START = "HTTP/1.";

	/** Initial capacity for a line of the trailers. */
	private static final int TRAILER_LINE_CHARS = 64;

	private final HeadSyntax headSyntax = new HeadSyntax();

	private final ChunkSyntax chunkSyntax = new ChunkSyntax();

	private boolean inHead;

	/** Bytes of the status line that have been compared. */
	private int comparedBytes = STATUS_LINE_START.length();

	ResponseInputBuffer(int bufferBytes, int maxHeadBytes) {
		super(bufferBytes, maxHeadBytes);
	}

	@Override
	void startHead() {
		super.startHead();
		this.inHead = true;
		this.headSyntax.start();
		// Bytes that have arrived behind an earlier response are checked line by line.
		this.comparedBytes = hasBufferedData() ? STATUS_LINE_START.length() : 0;
	}

	@Override
	void startBody() {
		super.startBody();
		this.inHead = false;
		this.chunkSyntax.start();
	}

	@Override
	public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
		int start = line.length();
		int length = super.readLine(line, in);
		CharSequence text = line.subSequence(start, line.length());
		if (this.inHead) {
			this.headSyntax.check(text);
		}
		else if (length >= 0) {
			this.chunkSyntax.check(text, lineEndComplete());
		}
		return length;
	}

	/**
	 * Reads the rest of the trailers of a chunked body, if there is any.
	 */
	void readTrailers(InputStream in) throws IOException {
		while (!this.chunkSyntax.complete()) {
			readLine(new CharArrayBuffer(TRAILER_LINE_CHARS), in);
		}
	}

	@Override
	public int fillBuffer(InputStream in) throws IOException {
		return super.fillBuffer((this.comparedBytes < STATUS_LINE_START.length()) ? new StatusLineStart(in) : in);
	}

	/**
	 * Compares the first bytes of a response as they are read.
	 */
	private final class StatusLineStart extends FilterInputStream {

		StatusLineStart(InputStream in) {
			super(in);
		}

		@Override
		public int read(byte[] bytes, int offset, int length) throws IOException {
			int count = super.read(bytes, offset, length);
			for (int i = 0; i < count && ResponseInputBuffer.this.comparedBytes < STATUS_LINE_START.length(); i++) {
				if (bytes[offset + i] != STATUS_LINE_START.charAt(ResponseInputBuffer.this.comparedBytes++)) {
					throw new IOException("the bytes are no response");
				}
			}
			return count;
		}

	}

}
