package org.jaywood.config;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that goes back to an older configuration.
 */
class ConfigurationViewTests {

	private final ConfigurationHolder view = new ConfigurationHolder(new EventLog("test"));

	private static AppliedConfiguration generation(long number) {
		return new AppliedConfiguration(number, "apply-" + number, "test", 0, Deployment.EMPTY.digest(),
				Deployment.EMPTY);
	}

	@Nested
	class Offer {

		@Test
		void takesNewerGeneration() {
			assertThat(ConfigurationViewTests.this.view.adoptIfNewer(generation(2), "platform")).isTrue();
			assertThat(ConfigurationViewTests.this.view.current().generation()).isEqualTo(2);
		}

		@Test
		void keepsCurrentWhenOlderGenerationIsOffered() {
			ConfigurationViewTests.this.view.adoptIfNewer(generation(2), "platform");
			assertThat(ConfigurationViewTests.this.view.adoptIfNewer(generation(1), "platform")).isFalse();
			assertThat(ConfigurationViewTests.this.view.current().generation()).isEqualTo(2);
		}

	}

}
