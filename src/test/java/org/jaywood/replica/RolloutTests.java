package org.jaywood.replica;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;

class RolloutTests {

	private static final long NOW = 50_000;

	private final Rollout rollout = new Rollout();

	private static ModelVersion version(long number) {
		return new ModelVersion("model", number);
	}

	/**
	 * Guards against engines without any version that may run calls, because each
	 * transfer is dropped for the next one.
	 */
	@Nested
	class Succession {

		@Test
		void aVersionThatIsWellUnderWayIsFinishedFirst() {
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW);
			RolloutTests.this.rollout.onTargetVersion(version(3), NOW + 4_000);
			assertThat(RolloutTests.this.rollout.target()).isEqualTo(version(2));
			assertThat(RolloutTests.this.rollout.versions()).containsExactly(version(2), version(3)).inOrder();
			RolloutTests.this.rollout.onActivated(version(2));
			assertThat(RolloutTests.this.rollout.target()).isEqualTo(version(3));
		}

		@Test
		void aVersionThatHasJustBegunGivesWay() {
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW);
			RolloutTests.this.rollout.onTargetVersion(version(3), NOW + 1_000);
			assertThat(RolloutTests.this.rollout.versions()).containsExactly(version(3));
		}

		/**
		 * Agents that decide differently have nothing to pass on to each other.
		 */
		@Test
		void agentsThatLearnOfNamingsAtDifferentTimesDecideAlike() {
			for (long delayMillis = -400; delayMillis <= 400; delayMillis += 100) {
				Rollout agent = new Rollout();
				agent.onTargetVersion(version(2), NOW);
				agent.onTargetVersion(version(3), NOW + 2_000 + delayMillis);
				assertThat(agent.versions()).containsExactly(version(3));
			}
		}

		@Test
		void anOlderNamingChangesNothing() {
			RolloutTests.this.rollout.onTargetVersion(version(3), NOW);
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW + 5_000);
			assertThat(RolloutTests.this.rollout.versions()).containsExactly(version(3));
		}

	}

	/**
	 * Guards against all engines loading at the same moment.
	 */
	@Nested
	class Turns {

		@Test
		void theSecondHalfWaits() {
			List<Upstream> engines = List.of(RoutingFixtures.engine("a", "kushiro-a", "doto", 1),
					RoutingFixtures.engine("b", "kushiro-a", "doto", 1));
			RolloutTests.this.rollout.onTargetVersion(version(2), NOW);
			assertThat(RolloutTests.this.rollout.mayLoad(version(2), engines.get(0), engines, NOW + 5_000)).isTrue();
			assertThat(RolloutTests.this.rollout.mayLoad(version(2), engines.get(1), engines, NOW + 5_000)).isFalse();
			assertThat(RolloutTests.this.rollout.mayLoad(version(2), engines.get(1), engines, NOW + 6_200)).isTrue();
		}

	}

}
