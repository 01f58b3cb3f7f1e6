package org.jaywood.http;

import java.io.IOException;
import java.util.regex.Pattern;

/**
 * Checks the lines of the heads of one exchange, interim responses included, as they
 * arrive. The parsers of HttpCore accept any number as a status: 099 looked like an
 * interim response, 600 and 999 like an answer.
 */
final class HeadSyntax {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d +[1-5]\\d\\d( .*)?", Pattern.DOTALL);

	private final FieldSyntax fields = new FieldSyntax();

	/** Whether the next line that is not empty must be a status line. */
	private boolean statusLineNext;

	/**
	 * Starts the next head.
	 */
	void start() {
		this.statusLineNext = true;
	}

	/**
	 * Checks the next line. The empty line behind an interim response is followed by the
	 * next status line.
	 * @throws IOException if the line cannot stand there
	 */
	void check(CharSequence line) throws IOException {
		if (line.isEmpty()) {
			start();
		}
		else if (this.statusLineNext) {
			checkStatusLine(line);
			this.statusLineNext = false;
			this.fields.start();
		}
		else {
			this.fields.check(line);
		}
	}

	private static void checkStatusLine(CharSequence line) throws IOException {
		if (!STATUS_LINE.matcher(line).matches()) {
			throw new IOException("the status line has no status from 100 to 599");
		}
		if (!FieldSyntax.isContent(line)) {
			throw new IOException("the status line has a control character");
		}
	}

}
