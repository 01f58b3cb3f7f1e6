package org.jaywood.platform;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against parts of a prompt that are missed or mistaken, since a part that crashes
 * engines is recognised by its id.
 */
class PromptPrefixTests {

	private static Set<String> parse(String... values) {
		return PromptPrefix.sharedParts(List.of(values));
	}

	@Nested
	class WellFormed {

		@Test
		void allPartsButTheLastAreShared() {
			assertThat(parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250")).containsExactly("5c1e07a2", "91bd3f06");
		}

		@Test
		void aSinglePartBelongsToTheRequest() {
			assertThat(parse("5c1e07a2:800")).isEmpty();
			assertThat(parse()).isEmpty();
		}

		@Test
		void idsAreComparedAsNumbers() {
			assertThat(parse("00AB:1,0:2,f:3")).containsExactly("ab", "0");
		}

		@Test
		void linesOfTheHeaderFormOneList() {
			assertThat(parse("a:1, b:2", "c:3")).containsExactly("a", "b");
		}

	}

	@Nested
	class Malformed {

		@Test
		void malformedEntriesAreLeftOut() {
			assertThat(parse("x:1,a,b:,:3,-1:2,c:1:2,11223344556677889:1,a:9999999999, d:4 ,,e:5"))
				.containsExactly("d");
		}

		@Test
		void listsWithoutEndAreReadUpToABound() {
			assertThat(parse(String.join(",", Collections.nCopies(100_000, "ab:1")))).containsExactly("ab");
			List<String> entries = IntStream.range(0, 10_000)
				.mapToObj((number) -> Integer.toHexString(number) + ":1")
				.toList();
			assertThat(parse(String.join(",", entries))).hasSize(PromptPrefix.MAX_PARTS);
		}

	}

}
