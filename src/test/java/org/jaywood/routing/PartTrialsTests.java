package org.jaywood.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a block that never ends, and against trials by several gateways, which
 * would each end an engine.
 */
class PartTrialsTests {

	private static final long NOW = 10_000_000;

	private static final long FIRST_TRIAL_MILLIS = NOW + 60_000;

	private final BlockedParts blocked = new BlockedParts(Set.of("bad"), 3, NOW);

	private final PartTrials trials = new PartTrials();

	/**
	 * When a trial is made.
	 */
	@Nested
	class Schedule {

		@Test
		void noTrialIsDueSoonAfterAnEnd() {
			assertThat(PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS - 1))
				.isEmpty();
		}

		@Test
		void leaseIsNotRequestedAgainAtOnceIfTheStoreIsAway() {
			assertThat(PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS))
				.hasSize(1);
			assertThat(PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS + 1))
				.isEmpty();
			assertThat(PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), NOW + 120_000))
				.hasSize(1);
		}

		@Test
		void laterTrialWaitsForLongerAndThenThereIsNone() {
			Trial first = new Trial(Set.of("bad"), 1);
			PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS);
			PartTrialsTests.this.trials.onLeaseDecided(first, false);
			assertThat(PartTrialsTests.this.trials.dueMillis(PartTrialsTests.this.blocked)).isEqualTo(NOW + 600_000);
			PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), NOW + 600_000);
			PartTrialsTests.this.trials.onLeaseDecided(new Trial(Set.of("bad"), 2), false);
			assertThat(PartTrialsTests.this.trials.dueMillis(PartTrialsTests.this.blocked)).isEqualTo(Long.MAX_VALUE);
		}

	}

	/**
	 * Who makes it.
	 */
	@Nested
	class Leases {

		/**
		 * Otherwise two gateways make the same trial after a restore of the store.
		 */
		@Test
		void trialWhoseLeaseIsLostIsNotMade() {
			Trial trial = new Trial(Set.of("bad"), 1);
			PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS);
			PartTrialsTests.this.trials.onLeaseDecided(trial, true);
			assertThat(PartTrialsTests.this.trials.onLeaseLost(trial.leaseName())).isTrue();
			assertThat(PartTrialsTests.this.trials.take(Set.of("bad"))).isFalse();
			assertThat(PartTrialsTests.this.trials.releaseUnblocked(List.of())).isEmpty();
		}

		@Test
		void oneCallOfOneGatewayIsTheTrial() {
			Set<String> store = new HashSet<>();
			List<PartTrials> gateways = Stream.generate(PartTrials::new).limit(5).toList();
			gateways.forEach((gateway) -> gateway.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS)
				.forEach((trial) -> gateway.onLeaseDecided(trial, store.add(trial.leaseName()))));
			long taken = gateways.stream()
				.flatMap((gateway) -> IntStream.range(0, 3).mapToObj((call) -> gateway.take(Set.of("bad", "x" + call))))
				.filter((isTrial) -> isTrial)
				.count();
			assertThat(taken).isEqualTo(1);
		}

		@Test
		void callWithoutTheBlockedPartsIsNoTrial() {
			PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS);
			PartTrialsTests.this.trials.onLeaseDecided(new Trial(Set.of("bad"), 1), true);
			assertThat(PartTrialsTests.this.trials.take(Set.of("other"))).isFalse();
			assertThat(PartTrialsTests.this.trials.take(Set.of("other", "bad"))).isTrue();
		}

		@Test
		void leaseIsReleasedWhenTheBlockHasEnded() {
			PartTrialsTests.this.trials.due(List.of(PartTrialsTests.this.blocked), FIRST_TRIAL_MILLIS);
			Trial trial = new Trial(Set.of("bad"), 1);
			PartTrialsTests.this.trials.onLeaseDecided(trial, true);
			assertThat(PartTrialsTests.this.trials.releaseUnblocked(List.of(PartTrialsTests.this.blocked))).isEmpty();
			assertThat(PartTrialsTests.this.trials.releaseUnblocked(List.of())).containsExactly(trial);
		}

	}

}
