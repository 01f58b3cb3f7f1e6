package org.jaywood.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that carry a crash from engine to engine, and against sound calls
 * that are held back because their engine was cut off or ended for another reason.
 */
class PartScreenTests {

	private static final long NOW = 10_000_000;

	private static final Set<String> PARTS = Set.of("bad");

	private final RecordingObserver observer = new RecordingObserver();

	private final PartScreen screen = new PartScreen(new CrashEvidence(), this.observer);

	private static UpstreamReport report(String upstream, long endedBornMillis) {
		return new UpstreamReport(upstream, 0, 0, false, 1, true, endedBornMillis, null);
	}

	private void reportEnd(Upstream engine, long nowMillis) {
		this.screen.onReport(engine.address(), report("", engine.bornMillis()), nowMillis);
	}

	private void block() {
		Stream.of("a", "b", "c").map(RoutingFixtures::engine).forEach((engine) -> {
			this.screen.onBroken(engine, PARTS, true, NOW);
			reportEnd(engine, NOW);
		});
		assertThat(this.screen.blocking(PARTS)).isPresent();
	}

	/**
	 * Which broken attempts speak against their parts.
	 */
	@Nested
	class Evidence {

		@Test
		void attemptCountsOnceItsEngineIsReportedAsEnded() {
			Upstream engine = RoutingFixtures.engine("a");
			PartScreenTests.this.screen.onBroken(engine, PARTS, true, NOW);
			assertThat(PartScreenTests.this.observer.crashes).isEmpty();
			reportEnd(engine, NOW + 100);
			assertThat(PartScreenTests.this.observer.crashes).hasSize(1);
		}

		@Test
		void reportOfTheEndMayComeBeforeTheBreak() {
			Upstream engine = RoutingFixtures.engine("a");
			reportEnd(engine, NOW);
			PartScreenTests.this.screen.onBroken(engine, PARTS, true, NOW + 20);
			assertThat(PartScreenTests.this.observer.crashes).hasSize(1);
		}

		@Test
		void enginesThatAreCutOffBlameNobody() {
			Stream.of("a", "b", "c", "d", "e")
				.map(RoutingFixtures::engine)
				.forEach((engine) -> PartScreenTests.this.screen.onBroken(engine, PARTS, true, NOW));
			PartScreenTests.this.screen.onTick(NOW + PartScreen.END_REPORT_TIMEOUT_MILLIS + 1);
			Stream.of("a", "b", "c", "d", "e")
				.map(RoutingFixtures::engine)
				.forEach((engine) -> reportEnd(engine, NOW + PartScreen.END_REPORT_TIMEOUT_MILLIS + 2));
			assertThat(PartScreenTests.this.screen.blocking(PARTS)).isEmpty();
		}

		@Test
		void endOfAnEarlierIncarnationBlamesNobody() {
			Upstream engine = RoutingFixtures.engine("a");
			PartScreenTests.this.screen.onBroken(engine, PARTS, true, NOW);
			PartScreenTests.this.screen.onReport(engine.address(), report("a", engine.bornMillis() - 1), NOW + 100);
			assertThat(PartScreenTests.this.observer.crashes).isEmpty();
		}

		@Test
		void partsThatWereAnsweredLatelyAreNoSuspects() {
			PartScreenTests.this.screen.onProven(PARTS, NOW - 1_000);
			Stream.of("a", "b", "c").map(RoutingFixtures::engine).forEach((engine) -> {
				PartScreenTests.this.screen.onBroken(engine, PARTS, false, NOW);
				reportEnd(engine, NOW);
			});
			assertThat(PartScreenTests.this.observer.crashes).isEmpty();
		}

		@Test
		void anotherGatewayClearsAPartThatItHasSeenAnswered() {
			PartScreen other = new PartScreen(new CrashEvidence(), new RecordingObserver());
			other.onProven(PARTS, NOW - 1_000);
			block();
			other.merge(PartScreenTests.this.screen.evidence().changes(0, 100, NOW).message(), NOW + 50);
			PartScreenTests.this.screen.merge(other.evidence().changes(0, 100, NOW + 50).message(), NOW + 100);
			assertThat(PartScreenTests.this.screen.blocking(PARTS)).isEmpty();
		}

	}

	/**
	 * Whether a call is sent again after its attempt broke.
	 */
	@Nested
	class Retry {

		private final Upstream engine = RoutingFixtures.engine("a");

		private boolean mayRetry(long nowMillis) throws InterruptedException {
			return PartScreenTests.this.screen.awaitMayRetry(this.engine, PARTS, NOW, 50, nowMillis);
		}

		@Test
		void callIsNotSentAgainAfterItsEngineEnded() throws InterruptedException {
			reportEnd(this.engine, NOW + 100);
			assertThat(mayRetry(NOW + 100)).isFalse();
		}

		@Test
		void callIsSentAgainIfItsPartsAreSound() throws InterruptedException {
			reportEnd(this.engine, NOW + 100);
			PartScreenTests.this.screen.onProven(PARTS, NOW);
			assertThat(mayRetry(NOW + 100)).isTrue();
		}

		@Test
		void callIsSentAgainIfItsEngineRunsOn() throws InterruptedException {
			PartScreenTests.this.screen.onReport(this.engine.address(), report("a", 0), NOW + 400);
			assertThat(mayRetry(NOW + 400)).isTrue();
		}

		@Test
		void callIsSentAgainIfItsEngineIsCutOff() throws InterruptedException {
			assertThat(mayRetry(NOW + 100)).isTrue();
		}

	}

	/**
	 * What a block does, and how it ends.
	 */
	@Nested
	class Block {

		@Test
		void waitingCallsWithThePartsAreCancelled() {
			AtomicInteger cancelled = new AtomicInteger();
			PartScreenTests.this.screen.watch("call", Set.of("bad", "x"), cancelled::incrementAndGet);
			PartScreenTests.this.screen.watch("other", Set.of("x"), cancelled::incrementAndGet);
			block();
			assertThat(cancelled.get()).isEqualTo(1);
		}

		@Test
		void callerIsToldToReturnAtTheNextTrial() {
			block();
			assertThat(PartScreenTests.this.screen.retryAfterMillis(PARTS, NOW + 10_000).getAsLong()).isEqualTo(50_000);
		}

		@Test
		void successfulTrialEndsTheBlockAndReleasesItsLease() {
			block();
			Trial trial = PartScreenTests.this.screen.takeDueTrials(NOW + 60_000).getFirst();
			PartScreenTests.this.screen.onTrialDecided(trial, true);
			assertThat(PartScreenTests.this.screen.takeTrial(PARTS)).isTrue();
			assertThat(PartScreenTests.this.screen.takeTrial(PARTS)).isFalse();
			PartScreenTests.this.screen.onProven(PARTS, NOW + 61_000);
			PartScreenTests.this.screen.onTick(NOW + 61_040);
			assertThat(PartScreenTests.this.screen.blocking(PARTS)).isEmpty();
			assertThat(PartScreenTests.this.screen.takeReleasedTrials()).containsExactly(trial);
		}

	}

	/**
	 * Keeps what a screen finds.
	 */
	private static final class RecordingObserver implements PartScreen.Observer {

		private final List<String> crashes = new ArrayList<>();

		@Override
		public void onCrash(String engine, Set<String> suspects) {
			this.crashes.add(engine);
		}

		@Override
		public void onBlocked(BlockedParts parts) {
		}

		@Override
		public void onSound(String part) {
		}

	}

}
