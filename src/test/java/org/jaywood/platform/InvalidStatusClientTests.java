package org.jaywood.platform;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.wire.Address;

/**
 * Guards against a status that is none and is waited on, or passes as success, in a
 * response of an engine, of the origin or of the store.
 */
class InvalidStatusClientTests extends PlatformClientFixture {

	private static final String MESSAGE = "cannot read a response head";

	private Address startWithStatus(String status) {
		return start("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n{}");
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void requestsToEngineFailAtOnce(String status) {
		engineRequests(startWithStatus(status)).forEach((request) -> assertFailsAtOnce(request, MESSAGE));
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void requestsToOriginFailAtOnce(String status) {
		originRequests(startWithStatus(status)).forEach((request) -> assertFailsAtOnce(request, MESSAGE));
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "2OO", "" })
	void requestsToStoreFailAtOnce(String status) {
		storeRequests(startWithStatus(status)).forEach((request) -> assertFailsAtOnce(request, MESSAGE));
	}

}
