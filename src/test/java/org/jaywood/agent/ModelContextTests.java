package org.jaywood.agent;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ModelContextTests {

	private String expected = "";

	private final ModelContext context = new ModelContext(null, null, null, null, null, () -> this.expected, () -> {
	}, (served) -> {
	}, () -> 0);

	/**
	 * Guards against answers of an engine that has restarted without weights while a call
	 * was on its way to it.
	 */
	@Nested
	class Weights {

		@Test
		void anEngineWithTheActivatedWeightsMayAnswer() {
			ModelContextTests.this.expected = "digest";
			assertThat(ModelContextTests.this.context.mayAnswer("digest")).isTrue();
		}

		@Test
		void anEngineWithOtherWeightsMayNotAnswer() {
			ModelContextTests.this.expected = "digest";
			assertThat(ModelContextTests.this.context.mayAnswer("other")).isFalse();
		}

		@Test
		void anEngineWithoutWeightsMayNeverAnswer() {
			assertThat(ModelContextTests.this.context.mayAnswer("")).isFalse();
		}

	}

}
