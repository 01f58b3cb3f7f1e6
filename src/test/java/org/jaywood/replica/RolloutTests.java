package org.jaywood.replica;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;

class RolloutTests {

	private static final long NOW_MILLIS = 50_000;

	private final Rollout rollout = new Rollout();

	private static ModelVersion version(long number) {
		return new ModelVersion("model", number);
	}

	/**
	 * Guards against engines without a version that may run calls, because each download
	 * is dropped for the next one.
	 */
	@Nested
	class SuccessiveVersions {

		@Test
		void versionOlderThanReplaceableAgeIsFinishedFirst() {
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW_MILLIS);
			RolloutTests.this.rollout.onTargetVersion(version(3), NOW_MILLIS + 4_000);
			assertThat(RolloutTests.this.rollout.target()).isEqualTo(version(2));
			assertThat(RolloutTests.this.rollout.versionsToDownload()).containsExactly(version(2), version(3))
				.inOrder();
			RolloutTests.this.rollout.onServed(version(2));
			assertThat(RolloutTests.this.rollout.target()).isEqualTo(version(3));
		}

		@Test
		void recentVersionIsReplacedAtOnce() {
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW_MILLIS);
			RolloutTests.this.rollout.onTargetVersion(version(3), NOW_MILLIS + 1_000);
			assertThat(RolloutTests.this.rollout.versionsToDownload()).containsExactly(version(3));
		}

		/**
		 * Agents that decide differently have no chunks to pass on to each other.
		 */
		@Test
		void agentsThatReceiveVersionsAtDifferentTimesDecideAlike() {
			for (long delayMillis = -400; delayMillis <= 400; delayMillis += 100) {
				Rollout agent = new Rollout();
				agent.onTargetVersion(version(2), NOW_MILLIS);
				agent.onTargetVersion(version(3), NOW_MILLIS + 2_000 + delayMillis);
				assertThat(agent.versionsToDownload()).containsExactly(version(3));
			}
		}

		@Test
		void olderTargetVersionIsIgnored() {
			RolloutTests.this.rollout.onTargetVersion(version(3), NOW_MILLIS);
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW_MILLIS + 5_000);
			assertThat(RolloutTests.this.rollout.versionsToDownload()).containsExactly(version(3));
		}

	}

	/**
	 * Guards against a loss of all capacity because all engines load at the same time.
	 */
	@Nested
	class LoadOrderOfHalves {

		@Test
		void secondHalfOfEnginesLoadsLater() {
			List<Upstream> engines = List.of(RoutingFixtures.engine("a", "kushiro-a", "doto", 1),
					RoutingFixtures.engine("b", "kushiro-a", "doto", 1));
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW_MILLIS);
			assertThat(RolloutTests.this.rollout.mayLoad(version(2), engines.get(0), engines, NOW_MILLIS + 5_000))
				.isTrue();
			assertThat(RolloutTests.this.rollout.mayLoad(version(2), engines.get(1), engines, NOW_MILLIS + 5_000))
				.isFalse();
			assertThat(RolloutTests.this.rollout.mayLoad(version(2), engines.get(1), engines, NOW_MILLIS + 6_200))
				.isTrue();
		}

	}

}
