package org.jaywood;

import java.util.stream.Stream;

/**
 * Responses in the forms of HTTP/1.1 and broken ones, for the tests of all places that
 * read responses. Field lines stand without their last line end.
 */
public final class ResponseForms {

	/** Content of all bodies here. */
	public static final String CONTENT = "body";

	public static final String LENGTH = "Content-Length: 4";

	public static final String CHUNKED = "Transfer-Encoding: chunked";

	/** The content as a chunk with the last chunk behind it, up to the trailers. */
	private static final String CHUNKS = "4\r\nbody\r\n0\r\n";

	private ResponseForms() {
	}

	/**
	 * Returns field lines that state the length of a body of 4 bytes in a broken way.
	 */
	public static Stream<String> brokenLengths() {
		return Stream.of("Content-Length: +4", "Content-Length: -4", "Content-Length: -1", "Content-Length:",
				"Content-Length: 4x", "Content-Length: x4", "Content-Length: 0x4", "Content-Length: 4 4",
				"Content-Length: 4, 5", "Content-Length: 4,", "Content-Length: 4.0", "Content-Length: 4;",
				"Content-Length: four", "Content-Length: \"4\"", "Content-Length: 99999999999999999999",
				"Content-Length: 18446744073709551620", "Content-Length: \u00b2", "Content-Length: 4\u0000",
				"Content-Length: \u000b4", "Content-Length: 4\r\n 4", "Content-Length: 4\r\nContent-Length: 5",
				"Content-Length: 4\r\nContent-Length: x", "Content-Length : 4", "Content-Length\t: 4",
				"Content-Length 4", "Content-Length=4", "Content Length: 4", "Content-Length\u0000: 4",
				"\u0001Content-Length: 4", "Content-\u007fLength: 4", "Content-Length: 2\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: chunked\r\nContent-Length: 4");
	}

	/**
	 * Returns field lines that state a transfer coding in a broken way, for a body of
	 * {@link #chunks()}.
	 */
	public static Stream<String> brokenCodings() {
		return Stream.of("Transfer-Encoding:", "Transfer-Encoding: chunke", "Transfer-Encoding: identity",
				"Transfer-Encoding: chunked, identity", "Transfer-Encoding: chunked, chunked",
				"Transfer-Encoding: chunked;", "Transfer-Encoding: \"chunked\"", "Transfer-Encoding: chunked\u0000",
				"Transfer-Encoding: \u000bchunked", "Transfer-Encoding: x\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
				"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", "Transfer-Encoding : chunked",
				"Transfer-Encoding\t: chunked", "Transfer-Encoding chunked", "Transfer Encoding: chunked",
				"Transfer-Encoding\u0000: chunked", "\u007fTransfer-Encoding: chunked");
	}

	/**
	 * Returns lines that are no field and do not state a length.
	 */
	public static Stream<String> linesThatAreNoFields() {
		return Stream.of("garbage", ": value", "=", "HTTP/1.1 200 OK", "{\"text\":\"a\"}", "<html>", "\u0000",
				"\u0007\u0007\u0007", "X@Name: 1", "(comment): 1", "N\u00e4me: 1", "\"Name\": 1", "X/Name: 1",
				"[X-Name]: 1", "X-Name,Y: 1");
	}

	/**
	 * Returns field lines whose name holds a blank or a control byte.
	 */
	public static Stream<String> brokenNames() {
		return Stream.of("X Name: 1", "X-Name : 1", "X-Name\t: 1", "X\tName: 1", "X-Na\u0000me: 1", "X-Name\u0000: 1",
				"\u0000X-Name: 1", "X-Name\u001b: 1", "X-\u0001Name: 1", "X-Name\u007f: 1", "X-Na\rme: 1",
				"\u000bX-Name: 1", "X-Name\u0085: 1", "X\u00a0Name: 1");
	}

	/**
	 * Returns field lines whose value holds a control byte.
	 */
	public static Stream<String> brokenValues() {
		return Stream.of("X-Name: a\u0000b", "X-Name: \u0000", "X-Name: a\rb", "X-Name: a\r", "X-Name: a\u0001",
				"X-Name: \u001b[0m", "X-Name: a\u007fb", "X-Name: a\u000bb", "X-Name: a\r\n b\u0000c",
				"X-Name: a\r\n\u0008b: c");
	}

	/**
	 * Returns chunks, up to the end of the response, that are broken.
	 */
	public static Stream<String> brokenChunks() {
		return Stream.concat(
				Stream
					.of("+4", "-4", "0x4", "x4", "4x", " 4", "\t4", "4 4", "", ";", "g", "4,", "4;\u0000", "4\r",
							"4\r;a", "\u00004", "4\u0000", "10000000000000004", "8000000000000004", "-0", "5", "3")
					.map((size) -> size + "\r\nbody\r\n0\r\n\r\n"),
				Stream.of("4\r\nbody0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n", "4\r\nbody\r\n+0\r\n\r\n",
						"4\r\nbody\r\n-0\r\n\r\n", "4\r\nbody\r\n \r\n\r\n", "4\r\nbody\r\n0\u0000\r\n\r\n",
						"4\r\nbody\r\n\r\n\r\n", "4\nbody\r\n0\r\n\r\n", "4\r\nbody\n0\r\n\r\n"));
	}

	/**
	 * Returns field lines beside a length, as they may stand in a head or in trailers.
	 */
	public static Stream<String> soundFields() {
		return Stream.of("X-Name: value", "X-Name:value", "X-Name:", "X-Name:  \t value \t ",
				"x!#$%&'*+-.^_`|~9: token", "X-Name: a, b; c=\"d: e\" (f) {\"g\":[1]}",
				"X-Name: caf\u00e9 \u00c3\u00a9 \u00ff", "X-Name: a\tb", "X-Name: \u00c3\u009c \u0080 \u0085 \u00a0",
				"X-Name: a\r\n b", "X-Name: a\r\n\tb", "X-Name:\r\n  b\r\n  c", "X-Name: 1\r\nx-name: 2",
				"X-Name: ".concat("a".repeat(8_000)), "Content-Language: en", "Content-Length-X: 5",
				"X-Content-Length: 5", "X-Transfer-Encoding: gzip");
	}

	/**
	 * Returns field lines that state the length of a body of 4 bytes.
	 */
	public static Stream<String> soundLengths() {
		return Stream.of("Content-Length: 4", "content-length: 4", "CONTENT-LENGTH:4", "Content-Length: \t 4 \t ",
				"Content-Length: 0004", "Content-Length:\r\n 4");
	}

	/**
	 * Returns field lines for a chunked body.
	 */
	public static Stream<String> soundCodings() {
		return Stream.of("Transfer-Encoding: chunked", "transfer-encoding:CHUNKED", "Transfer-Encoding: \t Chunked \t ",
				"Transfer-Encoding:\r\n chunked");
	}

	/**
	 * Returns chunked bodies up to the end of the response.
	 */
	public static Stream<String> soundChunks() {
		return Stream.of("4\r\nbody\r\n0\r\n\r\n", "0004\r\nbody\r\n0000\r\n\r\n",
				"00000000000000000004\r\nbody\r\n0\r\n\r\n", "1\r\nb\r\n1\r\no\r\n2\r\ndy\r\n0\r\n\r\n",
				"4;name=value\r\nbody\r\n0;last\r\n\r\n", "4 ; name = \"a;\\\"b\"\r\nbody\r\n0\r\n\r\n",
				"4;a;b=c;d\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n");
	}

	/**
	 * Returns the chunked content with trailers behind it.
	 * @param trailers field lines, each without its line end; or empty
	 */
	public static String chunks(String trailers) {
		return CHUNKS + (trailers.isEmpty() ? "" : trailers + "\r\n") + "\r\n";
	}

}
