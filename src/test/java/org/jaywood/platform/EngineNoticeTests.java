package org.jaywood.platform;

import java.util.OptionalLong;

import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.routing.LimitNotice;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against notices of engines that are missed or misread.
 */
class EngineNoticeTests {

	private static EngineNotice read(int status, String header, String... values) {
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(status);
		for (String value : values) {
			response.addHeader(header, value);
		}
		return EngineNotice.read(response);
	}

	/**
	 * An engine that leaves.
	 */
	@Nested
	class Leaving {

		@ParameterizedTest
		@ValueSource(ints = { 200, 421, 429, 500, 503 })
		void anyResponseCanSayIt(int status) {
			assertThat(read(status, "server-leaving", "1").leaving()).isTrue();
		}

		@ParameterizedTest
		@ValueSource(strings = { "0", "", "yes", "11", "1, 1" })
		void otherValuesAreIgnored(String value) {
			EngineNotice notice = read(200, "Server-Leaving", value);
			assertThat(notice.leaving()).isFalse();
			assertThat(notice.problem()).isNotNull();
		}

	}

	/**
	 * An engine that wants a pause.
	 */
	@Nested
	class Pause {

		@Test
		void secondsMayHaveFractions() {
			assertThat(read(503, "Retry-After", "1.25").pauseMillis()).isEqualTo(OptionalLong.of(1_250));
			assertThat(read(503, "Retry-After", "3").pauseMillis()).isEqualTo(OptionalLong.of(3_000));
		}

		@ParameterizedTest
		@ValueSource(strings = { "-1", "", "x", "1e9", "NaN", "1.", "99999999999999999999",
				"Wed, 21 Oct 2026 07:28:00 GMT" })
		void malformedValuesAreIgnored(String value) {
			EngineNotice notice = read(503, "Retry-After", value);
			assertThat(notice.pauseMillis()).isEqualTo(OptionalLong.empty());
			assertThat(notice.problem()).isNotNull();
		}

		@Test
		void longestOfSeveralValuesCounts() {
			EngineNotice notice = read(503, "Retry-After", "1", "4", "x");
			assertThat(notice.pauseMillis()).isEqualTo(OptionalLong.of(4_000));
			assertThat(notice.problem()).isNotNull();
		}

		@ParameterizedTest
		@ValueSource(ints = { 200, 429, 500 })
		void otherResponsesDoNotAskForAPause(int status) {
			assertThat(read(status, "Retry-After", "5").pauseMillis()).isEqualTo(OptionalLong.empty());
		}

	}

	/**
	 * An engine that names a limit.
	 */
	@Nested
	class Limit {

		@ParameterizedTest
		@ValueSource(ints = { 200, 404, 429, 500, 503 })
		void anyResponseCanNameIt(int status) {
			assertThat(read(status, "server-limit", "2.9").limit()).isEqualTo(new LimitNotice.Limited(2.9));
		}

		@Test
		void zeroIsALimit() {
			assertThat(read(200, "Server-Limit", "0").limit()).isEqualTo(new LimitNotice.Limited(0));
		}

		@Test
		void responseWithoutTheHeaderNamesNone() {
			assertThat(read(200, "Server").limit()).isEqualTo(new LimitNotice.None());
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "-1", "NaN", "1e400", "1e2", "Infinity", "2, 3", "0x1" })
		void otherValuesAreIgnored(String value) {
			EngineNotice notice = read(200, "Server-Limit", value);
			assertThat(notice.limit()).isEqualTo(new LimitNotice.Unreadable());
			assertThat(notice.problem()).isNotNull();
		}

		@Test
		void strictestOfSeveralValidValuesCounts() {
			EngineNotice notice = read(200, "Server-Limit", "3", "1.5", "x");
			assertThat(notice.limit()).isEqualTo(new LimitNotice.Limited(1.5));
			assertThat(notice.problem()).isNotNull();
		}

		@Test
		void callersDoNotGetIt() {
			assertThat(new PlatformCalls().returns("Server-Limit")).isFalse();
		}

	}

}
