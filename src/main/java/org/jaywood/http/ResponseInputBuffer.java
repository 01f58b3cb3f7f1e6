package org.jaywood.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Pattern;

import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer for responses that detects bytes that are no response as they arrive. The
 * parsers of HttpCore detect them at the end of a line or of the head, which a faulty
 * process may never send, and accept any number as a status: 099 looked like an interim
 * response, 600 and 999 like an answer.
 */
final class ResponseInputBuffer extends MessageInputBuffer {

	private static final String STATUS_LINE_START = "HTTP/1.";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d+ +[1-5]\\d\\d( .*)?");

	private boolean inHead;

	/** Whether the next line that is not empty must be a status line. */
	private boolean statusLineNext;

	/** Bytes of the status line that have been compared. */
	private int comparedBytes = STATUS_LINE_START.length();

	ResponseInputBuffer(int bufferBytes, int maxHeadBytes) {
		super(bufferBytes, maxHeadBytes);
	}

	@Override
	void startHead() {
		super.startHead();
		this.inHead = true;
		this.statusLineNext = true;
		// Bytes that have arrived behind an earlier response are checked line by line.
		this.comparedBytes = hasBufferedData() ? STATUS_LINE_START.length() : 0;
	}

	@Override
	void startBody() {
		super.startBody();
		this.inHead = false;
	}

	@Override
	public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
		int start = line.length();
		int length = super.readLine(line, in);
		if (this.inHead) {
			checkHeadLine(line, start);
		}
		return length;
	}

	/**
	 * Checks a line of a head. The empty line behind an interim response is followed by
	 * the next status line.
	 */
	private void checkHeadLine(CharArrayBuffer line, int start) throws IOException {
		if (line.length() == start) {
			this.statusLineNext = true;
		}
		else if (this.statusLineNext) {
			if (!STATUS_LINE.matcher(line.subSequence(start, line.length())).matches()) {
				throw new IOException("the status line has no status from 100 to 599");
			}
			this.statusLineNext = false;
		}
		else if (!isHeaderLine(line, start)) {
			throw new IOException("a line of the head is no header");
		}
	}

	/**
	 * Whether a line is a header or the continuation of one.
	 */
	private static boolean isHeaderLine(CharArrayBuffer line, int start) {
		char first = line.charAt(start);
		return first == ' ' || first == '\t' || line.indexOf(':', start, line.length()) > start;
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
