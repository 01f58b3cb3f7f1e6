package org.jaywood.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.jaywood.Failures;

import static com.google.common.truth.Truth.assertThat;

class RawJsonTests {

	private static RawJson raw(String json) {
		return RawJson.of(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
	}

	private static String member(String json, String name) {
		return raw(json).member(name).map(RawJson::tree).map(JsonNode::toString).orElse("none").replace('"', '\'');
	}

	/**
	 * Guards against a value whose bounds differ from those that a JSON parser finds.
	 */
	@Nested
	class Members {

		@Test
		void bracketsAndCommasInStringsAreText() {
			assertThat(member("{'a':'],}{[\\',','b':{'a':[1,{'b':2}]}}", "b")).isEqualTo("{'a':[1,{'b':2}]}");
			assertThat(member("{'a':'\\\\','b':2}", "b")).isEqualTo("2");
		}

		@Test
		void nestedMembersAreNotFound() {
			assertThat(member("{'b':{'a':1},'c':['a',2]}", "a")).isEqualTo("none");
			assertThat(member("['a',1]", "a")).isEqualTo("none");
			assertThat(member("{}", "a")).isEqualTo("none");
		}

		@Test
		void escapedNamesAndWhitespaceAreAccepted() {
			assertThat(member("\n{ 'N\\u0061me' :\t'x' , 'b':1 } ", "Name")).isEqualTo("'x'");
		}

		@Test
		void lastMemberOfEqualNamesIsReturned() {
			assertThat(member("{'a':1,'a':2}", "a")).isEqualTo("2");
		}

		@ParameterizedTest
		@ValueSource(strings = { "{'a':1", "{'a':12]", "{'b':'x", "{'b':[1,'a':1}" })
		void unterminatedObjectIsRejected(String json) {
			Failures.thrownBy(BadInputException.class, () -> raw(json).member("a"));
		}

	}

	/**
	 * Guards against elements that are merged or omitted.
	 */
	@Nested
	class Elements {

		private static List<String> elements(String json) {
			return raw(json).elements().stream().map((element) -> element.tree().toString()).toList();
		}

		@Test
		void elementsAreReturnedSeparatelyInOrder() {
			assertThat(elements(" [1, {\"a\":[2,3]} ,[],null]")).containsExactly("1", "{\"a\":[2,3]}", "[]", "null")
				.inOrder();
			assertThat(elements("[ ]")).isEmpty();
		}

		@Test
		void elementWithTwoValuesIsRejected() {
			RawJson element = raw("[{'a':1}{'b':2}]").elements().getFirst();
			Failures.thrownBy(BadInputException.class, element::tree);
		}

		@ParameterizedTest
		@ValueSource(strings = { "[1", "[1}", "{}", "7", "", "[[1]" })
		void malformedArrayIsRejected(String json) {
			Failures.thrownBy(BadInputException.class, () -> raw(json).elements());
		}

	}

}
