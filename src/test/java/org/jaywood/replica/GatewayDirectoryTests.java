package org.jaywood.replica;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

class GatewayDirectoryTests {

	private static final Address NEAR = new Address("127.0.0.1", 1);

	private static final Address FAR = new Address("127.0.0.2", 1);

	private final GatewayDirectory directory = new GatewayDirectory("kushiro-a", "side-1");

	GatewayDirectoryTests() {
		this.directory.add(FAR, "donan-a");
		this.directory.add(NEAR, "kushiro-a");
	}

	/**
	 * Guards against an agent that keeps polling a gateway without store contact, and so
	 * receives a new target version seconds late.
	 */
	@Nested
	class PollOrder {

		@Test
		void gatewayOfOwnDataCentreIsFirst() {
			assertThat(GatewayDirectoryTests.this.directory.pollOrder(0)).containsExactly(NEAR, FAR).inOrder();
		}

		@Test
		void unavailableGatewayIsLast() {
			GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000);
			assertThat(GatewayDirectoryTests.this.directory.pollOrder(1_100)).containsExactly(FAR, NEAR).inOrder();
		}

		@Test
		void gatewayRegainsItsPositionWhenAvailable() {
			GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000);
			GatewayDirectoryTests.this.directory.markAvailable(NEAR);
			assertThat(GatewayDirectoryTests.this.directory.pollOrder(1_100)).containsExactly(NEAR, FAR).inOrder();
		}

		@Test
		void gatewayRegainsItsPositionAfterFiveSeconds() {
			GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000);
			assertThat(GatewayDirectoryTests.this.directory.pollOrder(6_000)).containsExactly(NEAR, FAR).inOrder();
		}

		@Test
		void onlyChangesOfAvailabilityAreReported() {
			assertThat(GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000)).isTrue();
			assertThat(GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_200)).isFalse();
			assertThat(GatewayDirectoryTests.this.directory.markAvailable(NEAR)).isTrue();
			assertThat(GatewayDirectoryTests.this.directory.markAvailable(NEAR)).isFalse();
		}

	}

}
