package org.jaywood.platform;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.jaywood.ResponseForms;

/**
 * Guards against a broken response of an engine, of the origin or of the store that
 * passes as success.
 */
class BrokenResponseClientTests extends PlatformClientFixture {

	private static final String FORMS = "org.jaywood.ResponseForms#";

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private void assertAllFail(String response, String message) {
		allRequests(start(response)).forEach((request) -> assertFailsAtOnce(request, message));
	}

	@ParameterizedTest
	@MethodSource({ FORMS + "linesThatAreNoFields", FORMS + "brokenNames", FORMS + "brokenValues" })
	void fieldFails(String line) {
		assertAllFail(STATUS_LINE + line + "\r\nContent-Length: 4\r\n\r\nbody", "a line is no field");
	}

	@ParameterizedTest
	@MethodSource(FORMS + "brokenLengths")
	void lengthFails(String length) {
		assertAllFail(STATUS_LINE + length + "\r\n\r\nbody", "cannot read a response head");
	}

	@ParameterizedTest
	@MethodSource(FORMS + "brokenChunks")
	void chunkFails(String chunks) {
		assertAllFail(STATUS_LINE + ResponseForms.CHUNKED + "\r\n\r\n" + chunks, "chunk");
	}

}
