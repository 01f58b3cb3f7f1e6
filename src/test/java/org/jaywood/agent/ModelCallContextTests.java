package org.jaywood.agent;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ModelCallContextTests {

	private String expected = "";

	private final ModelCallContext context = new ModelCallContext(null, null, null, null, null, () -> this.expected,
			() -> {
			}, (served) -> {
			}, () -> 0);

	/**
	 * Guards against answers of an engine that has restarted without weights while a call
	 * was in transit to it.
	 */
	@Nested
	class ServedWeights {

		@Test
		void engineWithActivatedWeightsMayAnswer() {
			ModelCallContextTests.this.expected = "digest";
			assertThat(ModelCallContextTests.this.context.servesExpectedWeights("digest")).isTrue();
		}

		@Test
		void engineWithOtherWeightsMayNotAnswer() {
			ModelCallContextTests.this.expected = "digest";
			assertThat(ModelCallContextTests.this.context.servesExpectedWeights("other")).isFalse();
		}

		@Test
		void engineWithoutWeightsMayNotAnswer() {
			assertThat(ModelCallContextTests.this.context.servesExpectedWeights("")).isFalse();
		}

	}

}
