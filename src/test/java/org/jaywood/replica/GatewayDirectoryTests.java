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
	 * Guards against an agent that stays with a gateway which has lost the store, and so
	 * learns of a new version seconds late.
	 */
	@Nested
	class Order {

		@Test
		void theNearGatewayIsAskedFirst() {
			assertThat(GatewayDirectoryTests.this.directory.order(0)).containsExactly(NEAR, FAR).inOrder();
		}

		@Test
		void aGatewayThatCouldNotHelpIsAskedLast() {
			GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000);
			assertThat(GatewayDirectoryTests.this.directory.order(1_100)).containsExactly(FAR, NEAR).inOrder();
		}

		@Test
		void itIsAskedInItsTurnOnceItHelpsAgain() {
			GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000);
			GatewayDirectoryTests.this.directory.markAvailable(NEAR);
			assertThat(GatewayDirectoryTests.this.directory.order(1_100)).containsExactly(NEAR, FAR).inOrder();
		}

		@Test
		void itIsAskedInItsTurnAfterAWhile() {
			GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000);
			assertThat(GatewayDirectoryTests.this.directory.order(6_000)).containsExactly(NEAR, FAR).inOrder();
		}

		@Test
		void onlyTheFirstDoubtIsNews() {
			assertThat(GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_000)).isTrue();
			assertThat(GatewayDirectoryTests.this.directory.markUnavailable(NEAR, 1_200)).isFalse();
			assertThat(GatewayDirectoryTests.this.directory.markAvailable(NEAR)).isTrue();
			assertThat(GatewayDirectoryTests.this.directory.markAvailable(NEAR)).isFalse();
		}

	}

}
