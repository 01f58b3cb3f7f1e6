package org.jaywood.http;

import java.io.IOException;

/**
 * Checks the field lines of a head or of trailers as they arrive (RFC 9112, section 5).
 * HttpCore trims names and accepts any byte in names and values, so that a line whose
 * name is corrupted looks like another field.
 */
final class FieldSyntax {

	/** Characters of a token besides letters and digits (RFC 9110, section 5.6.2). */
	private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

	private static final char FIRST_VISIBLE = ' ';

	private static final char DELETE = '\u007f';

	/** Whether the next line may continue the value of the line before. */
	private boolean continuable;

	/**
	 * Starts the fields of the next head or of the next trailers.
	 */
	void start() {
		this.continuable = false;
	}

	/**
	 * Checks the next line, which is not empty.
	 * @throws IOException if it is neither a field nor the continuation of one
	 */
	void check(CharSequence line) throws IOException {
		boolean valid = isBlank(line.charAt(0)) ? this.continuable && isContinuation(line) : isField(line);
		if (!valid) {
			throw new IOException("a line is no field");
		}
		this.continuable = true;
	}

	/**
	 * Whether a line is a field: a token, a colon and a value.
	 */
	private static boolean isField(CharSequence line) {
		int colon = line.toString().indexOf(':');
		return colon > 0 && line.subSequence(0, colon).chars().allMatch(FieldSyntax::isTokenChar) && isContent(line);
	}

	/**
	 * Whether a line that begins with a blank continues a value (obsolete folding).
	 * Blanks alone do not, since some readers take them for the end of the head.
	 */
	private static boolean isContinuation(CharSequence line) {
		return isContent(line) && !line.chars().allMatch(FieldSyntax::isBlank);
	}

	/**
	 * Whether a text has no control characters but tabs, as the value of a field.
	 */
	static boolean isContent(CharSequence text) {
		return text.chars().allMatch((c) -> c == '\t' || (c >= FIRST_VISIBLE && c != DELETE));
	}

	private static boolean isTokenChar(int c) {
		return isLetterOrDigit(c) || TOKEN_PUNCTUATION.indexOf(c) >= 0;
	}

	private static boolean isLetterOrDigit(int c) {
		return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
	}

	private static boolean isBlank(int c) {
		return c == ' ' || c == '\t';
	}

}
