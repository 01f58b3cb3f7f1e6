package org.jaywood.wire;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against hosts that are no IP address: each connection to one would first wait
 * for a name lookup, for as long as the name service takes.
 */
class AddressTests {

	@ParameterizedTest
	@ValueSource(strings = { "300.1.2.3:80", "1.2.3:80", "...:80", "1.2.3.4.5:80", "1..2.3:80", "1.2.3.4.:80",
			"01.2.3.4:80", "10:80", "1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:+80", "1.2.3.4:", "1.2.3.4:99999999999",
			"1.2.3.4:\u0668\u0660", "name:80", ":80", "1.2.3.4", "" })
	void malformedAddressIsRejected(String text) {
		Failures.thrownBy(BadInputException.class, () -> Address.parse(text));
	}

	@ParameterizedTest
	@ValueSource(strings = { "10.0.0.1:80", "255.255.255.255:65535", "127.0.0.1:0" })
	void validAddressIsParsed(String text) {
		assertThat(Address.parse(text).toString()).isEqualTo(text);
	}

	@Test
	void socketAddressIsResolvedWithoutLookup() {
		assertThat(Address.parse("10.0.0.1:80").socketAddress().isUnresolved()).isFalse();
	}

}
