package org.jaywood.config;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.event.EventLog;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that returns to an older configuration.
 */
class ConfigurationHolderTests {

	private final ConfigurationHolder holder = new ConfigurationHolder(new EventLog("test"));

	private static AppliedConfiguration generation(long number) {
		return new AppliedConfiguration(number, "apply-" + number, "test", 0, Deployment.EMPTY.digest(),
				Deployment.EMPTY);
	}

	@Nested
	class AdoptIfNewer {

		@Test
		void adoptsNewerGeneration() {
			assertThat(ConfigurationHolderTests.this.holder.adoptIfNewer(generation(2), "platform")).isTrue();
			assertThat(ConfigurationHolderTests.this.holder.current().generation()).isEqualTo(2);
		}

		@Test
		void keepsCurrentWhenOlderGenerationIsOffered() {
			ConfigurationHolderTests.this.holder.adoptIfNewer(generation(2), "platform");
			assertThat(ConfigurationHolderTests.this.holder.adoptIfNewer(generation(1), "platform")).isFalse();
			assertThat(ConfigurationHolderTests.this.holder.current().generation()).isEqualTo(2);
		}

	}

}
