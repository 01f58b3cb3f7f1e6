package org.jaywood.platform;

import java.io.IOException;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.jaywood.gateway.SingletonSettings;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class PlatformSettingsTests {

	/** Calls per second that reach an overloaded engine. */
	private static final double ARRIVALS_PER_SECOND = 16;

	/** Calls per second that an engine completes. */
	private static final double ENDS_PER_SECOND = 12;

	/** Longest interval between two reports of an engine. */
	private static final double REPORT_SECONDS = 0.45;

	/** Time that an engine takes to read a long prompt. */
	private static final double PROMPT_SECONDS = 0.12;

	/**
	 * Guards against a call that is sent within the grace period of its version and
	 * starts after it, because it waits in the engine: between two reports the gateways
	 * send all arrivals, each of which waits for the completion of another call and for
	 * its prompt to be read.
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

	/**
	 * Guards against an election and priced calls of a deployment that asks for no
	 * singletons.
	 */
	@Test
	void dutiesAreReadOnlyWhereTheFileNamesThem() throws IOException {
		assertThat(PlatformSettings.parse("[Cloud]\nAddress = \"10.0.0.1:80\"\nRatePerS = 5").singletons()).isNull();
		assertThat(PlatformSettings.parse("Node = \"a\"").singletons()).isNull();
		assertThat(PlatformSettings.parse("""
				[Cloud]
				Address = "10.0.0.1:80"
				Duties = ["usage", "autoscale"]
				DutyPerS = 4
				[Bounds]
				LeaseMs = 2000
				UsageWindowS = 4
				UsageLateS = 8
				""").singletons()).isEqualTo(new SingletonSettings(Set.of("usage", "autoscale"),
				new Address("10.0.0.1", 80), 4, 2_000, 4_000, 8_000));
	}

}
