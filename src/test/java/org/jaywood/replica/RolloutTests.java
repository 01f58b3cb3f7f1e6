package org.jaywood.replica;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.RoutingFixtures;
import org.jaywood.routing.Upstream;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against engines without a version on which calls may begin: each download is
 * dropped for the next one, a version is waited for that cannot come any more, or an old
 * one is loaded instead of a newer one. The nested classes are the states of
 * {@code docs/design/rollout.md}, their methods its events.
 */
class RolloutTests {

	private static final long NOW_MILLIS = 50_000;

	private static final long GRACE_MILLIS = 6_500;

	private static final int CHUNKS = 96;

	private final Rollout rollout = new Rollout(GRACE_MILLIS);

	private static ModelVersion version(long number) {
		return new ModelVersion("model", number);
	}

	private void announce(long version, long afterMillis) {
		this.rollout.onTargetVersion(version(version), NOW_MILLIS + afterMillis);
	}

	private void receive(long version, int missing, long afterMillis) {
		this.rollout.onProgress(version(version), CHUNKS, missing, NOW_MILLIS + afterMillis);
	}

	private void assertFetched(long version, long afterMillis) {
		assertThat(this.rollout.versionToFetch(NOW_MILLIS + afterMillis)).isEqualTo(Optional.of(version(version)));
	}

	private void assertNothingFetched(long afterMillis) {
		assertThat(this.rollout.versionToFetch(NOW_MILLIS + afterMillis)).isEmpty();
	}

	private void assertTarget(long version, long afterMillis) {
		assertThat(this.rollout.target(NOW_MILLIS + afterMillis)).isEqualTo(Optional.of(version(version)));
	}

	@Nested
	class NothingKnown {

		@Test
		void nothingIsFetchedOrServed() {
			assertNothingFetched(0);
			assertThat(RolloutTests.this.rollout.target(NOW_MILLIS)).isEmpty();
		}

		@Test
		void announcedVersionIsFetched() {
			announce(2, 0);
			assertFetched(2, 0);
			assertTarget(2, 0);
		}

	}

	@Nested
	class OneVersionIncomplete {

		@BeforeEach
		void receivePart() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 20, 1_900);
		}

		@Test
		void remainsTargetWhileOriginIsDown() {
			assertFetched(2, 60_000);
			assertTarget(2, 60_000);
		}

		@Test
		void olderAnnouncementIsIgnored() {
			announce(1, 2_000);
			assertFetched(2, 2_000);
		}

		@Test
		void newerAnnouncementDoesNotInterruptNearlyWholeVersion() {
			announce(3, 2_000);
			assertFetched(2, 2_000);
			assertTarget(2, 2_000);
		}

		@Test
		void wholeVersionIsTheTargetAndNothingElseIsFetched() {
			receive(2, 0, 2_200);
			assertNothingFetched(2_200);
			assertTarget(2, 2_200);
		}

		@Test
		void droppedVersionIsForgotten() {
			RolloutTests.this.rollout.onGone(version(2));
			assertNothingFetched(2_000);
			announce(2, 2_100);
			assertNothingFetched(2_100);
			announce(3, 2_200);
			assertFetched(3, 2_200);
		}

		@Test
		void otherModelReplacesIt() {
			ModelVersion other = new ModelVersion("other", 1);
			RolloutTests.this.rollout.onTargetVersion(other, NOW_MILLIS + 2_000);
			assertThat(RolloutTests.this.rollout.versions()).containsExactly(other);
		}

	}

	@Nested
	class OlderBegunNewerAnnounced {

		@Test
		void versionOfWhichNothingArrivedIsReplacedAtOnce() {
			announce(2, 0);
			announce(3, 4_000);
			assertFetched(3, 4_000);
		}

		@Test
		void versionThatIsJustBegunIsReplacedAtOnce() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 60, 900);
			announce(3, 1_000);
			assertFetched(3, 1_000);
			assertThat(RolloutTests.this.rollout.versions()).containsExactly(version(3));
		}

		@Test
		void versionThatWouldComeTooLateIsReplacedAtOnce() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 40, 19_000);
			receive(2, 30, 20_000);
			announce(3, 20_000);
			assertFetched(2, 20_000);
			assertFetched(3, 24_000);
		}

		@Test
		void versionThatArrivesNoMoreIsReplaced() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 10, 1_900);
			announce(3, 2_000);
			assertFetched(2, 3_800);
			assertFetched(3, 4_000);
			receive(3, CHUNKS, 4_000);
			receive(3, 90, 4_100);
			assertFetched(3, 4_100);
		}

		@Test
		void droppedOlderVersionIsReplacedAtOnce() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 10, 1_900);
			announce(3, 2_000);
			RolloutTests.this.rollout.onGone(version(2));
			assertFetched(3, 2_000);
			assertTarget(3, 2_000);
		}

		@Test
		void thirdVersionReplacesSecondThatHasNotBegun() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 10, 1_900);
			announce(3, 2_000);
			announce(4, 2_100);
			assertFetched(2, 2_100);
			receive(2, 0, 2_200);
			assertFetched(4, 2_200);
		}

		/**
		 * Agents that decide differently have no chunks to pass on to each other.
		 */
		@Test
		void agentsThatReceiveVersionsAtDifferentTimesDecideAlike() {
			for (long delayMillis = -400; delayMillis <= 400; delayMillis += 100) {
				Rollout agent = new Rollout(GRACE_MILLIS);
				agent.onTargetVersion(version(2), NOW_MILLIS);
				agent.onProgress(version(2), CHUNKS, CHUNKS, NOW_MILLIS + 300);
				agent.onProgress(version(2), CHUNKS, 30, NOW_MILLIS + 1_500);
				agent.onTargetVersion(version(3), NOW_MILLIS + 2_000 + delayMillis);
				assertThat(agent.versionToFetch(NOW_MILLIS + 2_000 + delayMillis)).isEqualTo(Optional.of(version(2)));
			}
		}

	}

	@Nested
	class OlderWholeNewerIncomplete {

		@BeforeEach
		void receiveOlder() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 0, 2_000);
			announce(3, 2_100);
		}

		@Test
		void olderIsLoadedWhileNewerIsFetched() {
			assertTarget(2, 2_100);
			assertFetched(3, 2_100);
		}

		@Test
		void olderIsNotLoadedShortlyBeforeItsLastCalls() {
			assertTarget(2, 2_100 + GRACE_MILLIS - 3_000);
			assertTarget(3, 2_100 + GRACE_MILLIS - 2_900);
		}

		@Test
		void newerThatIsWholeWins() {
			receive(3, CHUNKS, 2_200);
			receive(3, 0, 4_000);
			assertTarget(3, 4_000);
			assertNothingFetched(4_000);
		}

		@Test
		void droppedNewerVersionLeavesOlder() {
			RolloutTests.this.rollout.onGone(version(3));
			assertTarget(2, 2_200);
			assertNothingFetched(2_200);
		}

		@Test
		void restartedEngineGetsOlderAgain() {
			RolloutTests.this.rollout.onServed(version(2));
			assertTarget(2, 3_000);
		}

		@Test
		void graceOfThirdVersionDoesNotExtendThatOfSecond() {
			announce(4, 4_000);
			assertTarget(2, 4_000);
			assertTarget(4, 2_100 + GRACE_MILLIS - 2_900);
		}

	}

	@Nested
	class NewestWhole {

		@BeforeEach
		void receiveNewest() {
			announce(2, 0);
			receive(2, CHUNKS, 300);
			receive(2, 0, 2_000);
		}

		@Test
		void remainsTargetWithoutAnotherVersion() {
			assertTarget(2, 3_600_000);
			assertNothingFetched(3_600_000);
		}

		@Test
		void newerAnnouncementIsFetchedWhileItIsLoaded() {
			announce(3, 2_100);
			assertTarget(2, 2_100);
			assertFetched(3, 2_100);
		}

		@Test
		void isNotForgottenWhenOriginDropsIt() {
			RolloutTests.this.rollout.onGone(version(2));
			assertTarget(2, 2_100);
			assertNothingFetched(2_100);
		}

	}

	@Nested
	class NewestServed {

		@BeforeEach
		void serveNewest() {
			announce(2, 0);
			receive(2, 0, 2_000);
			RolloutTests.this.rollout.onServed(version(2));
		}

		@Test
		void restartedEngineGetsItAgain() {
			assertTarget(2, 60_000);
			assertNothingFetched(60_000);
		}

		@Test
		void newerAnnouncementIsFetchedAndServedOnceWhole() {
			announce(3, 60_000);
			assertFetched(3, 60_000);
			assertTarget(2, 60_000);
			receive(3, 0, 62_000);
			assertTarget(3, 62_000);
		}

		/**
		 * An agent that has restarted knows only the newest announcement.
		 */
		@Test
		void restartedAgentDoesNotReturnToOlderVersion() {
			Rollout restarted = new Rollout(GRACE_MILLIS);
			restarted.onTargetVersion(version(3), NOW_MILLIS);
			restarted.onServed(version(2));
			assertThat(restarted.target(NOW_MILLIS)).isEqualTo(Optional.of(version(3)));
			assertThat(restarted.versionToFetch(NOW_MILLIS)).isEqualTo(Optional.of(version(3)));
		}

	}

	/**
	 * Guards against a loss of all capacity because all engines load at the same time.
	 */
	@Nested
	class LoadOrderOfHalves {

		private final List<Upstream> engines = List.of(RoutingFixtures.engine("a", "kushiro-a", "doto", 1),
				RoutingFixtures.engine("b", "kushiro-a", "doto", 1));

		private boolean mayLoad(int engine, long version, long afterMillis) {
			return RolloutTests.this.rollout.mayLoad(version(version), this.engines.get(engine), this.engines,
					NOW_MILLIS + afterMillis);
		}

		@Test
		void secondHalfOfEnginesLoadsLater() {
			announce(2, 0);
			assertThat(mayLoad(0, 2, 5_000)).isTrue();
			assertThat(mayLoad(1, 2, 5_000)).isFalse();
			assertThat(mayLoad(1, 2, 6_200)).isTrue();
		}

		@Test
		void secondHalfLoadsSupersededVersionAfterFirstHalf() {
			announce(2, 0);
			receive(2, 0, 2_000);
			announce(3, 2_100);
			assertThat(mayLoad(0, 2, 2_100)).isTrue();
			assertThat(mayLoad(1, 2, 2_100)).isFalse();
			assertThat(mayLoad(1, 2, 3_600)).isTrue();
		}

		@Test
		void waitOfSecondHalfIsNotExtendedByVersionsThatItSkips() {
			announce(2, 0);
			announce(3, 3_000);
			assertThat(mayLoad(1, 3, 6_000)).isFalse();
			assertThat(mayLoad(1, 3, 6_200)).isTrue();
		}

		@Test
		void waitOfSecondHalfBeginsAgainOnceAVersionIsServed() {
			announce(2, 0);
			RolloutTests.this.rollout.onServed(version(2));
			announce(3, 20_000);
			assertThat(mayLoad(1, 3, 26_000)).isFalse();
			assertThat(mayLoad(1, 3, 26_200)).isTrue();
		}

	}

}
