package org.jaywood.config;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that goes back to an older configuration.
 */
class ConfigurationHolderTests {

	private final ConfigurationHolder view = new ConfigurationHolder(new EventLog("test"));

	private static AppliedConfiguration generation(long number) {
		return new AppliedConfiguration(number, "apply-" + number, "test", 0, Deployment.EMPTY.digest(),
				Deployment.EMPTY);
	}

	@Nested
	class Offer {

		@Test
		void takesNewerGeneration() {
			assertThat(ConfigurationHolderTests.this.view.adoptIfNewer(generation(2), "platform")).isTrue();
			assertThat(ConfigurationHolderTests.this.view.current().generation()).isEqualTo(2);
		}

		@Test
		void keepsCurrentWhenOlderGenerationIsOffered() {
			ConfigurationHolderTests.this.view.adoptIfNewer(generation(2), "platform");
			assertThat(ConfigurationHolderTests.this.view.adoptIfNewer(generation(1), "platform")).isFalse();
			assertThat(ConfigurationHolderTests.this.view.current().generation()).isEqualTo(2);
		}

	}

}
