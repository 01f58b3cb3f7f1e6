package org.jaywood.platform;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PlatformSettingsTests {

	/** Calls a second that reach an engine in an overload. */
	private static final double ARRIVALS_PER_SECOND = 16;

	/** Calls a second that an engine ends. */
	private static final double ENDS_PER_SECOND = 12;

	/** Longest interval between two reports of an engine. */
	private static final double REPORT_SECONDS = 0.45;

	/** Time in which an engine reads a long prompt. */
	private static final double PROMPT_SECONDS = 0.12;

	/**
	 * Guards against a call that is handed over while its version may still begin and
	 * then waits in the engine until it may not: between two reports gateways send all
	 * arrivals, each of which waits for an end and reads its prompt.
	 */
	@Test
	void versionMarginCoversWaitInEngine() throws IOException {
		PlatformSettings settings = PlatformSettings.parse("""
				PortRange = [1, 2]
				Ip = "127.0.0.1"
				[Listen]
				Front = "127.0.0.1:1"
				ReadyAddress = "127.0.0.1:2"
				[Bounds]
				version_ms = 8000
				""");
		double queued = ARRIVALS_PER_SECOND * REPORT_SECONDS;
		double waitSeconds = queued / ENDS_PER_SECOND + queued * PROMPT_SECONDS / 2 + PROMPT_SECONDS;
		long marginMillis = 8_000 - settings.gateway().dispatch().versionGraceMillis();
		assertThat((double) marginMillis).isAtLeast(waitSeconds * 1_000);
	}

}
