package org.jaywood.leader;

import java.util.Map;
import java.util.Optional;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.google.common.collect.Range;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.leader.LeaderElection.Change;
import org.jaywood.leader.LeaderElection.Step;
import org.jaywood.wire.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a cell of the table in docs/design/leader-election.md that the code does
 * not follow. Each nested class is a state, each test an event in it.
 */
class LeaderElectionTests {

	private static final Address ADDRESS = new Address("10.0.0.1", 7715);

	/** Time after which a candidate may take a lease that is not renewed. */
	private static final long TAKEOVER_MILLIS = 3_500;

	/** Time for which a leader may act after it sent its last renewal. */
	private static final long ACT_MILLIS = 2_500;

	private final LeaderElection election = new LeaderElection("vm-1", ADDRESS, "me", LeaseTiming.of(3_000),
			new Random(1));

	private long nowMillis = 50_000;

	private static Lease lease(String process, long term, long era) {
		return new Lease(process.equals("me") ? "vm-1" : "vm-2", ADDRESS, process, term, era,
				Map.of("task", new SavedState(era, IntNode.valueOf(7))));
	}

	private static LeaseResponse.Found other(long era, long revision, long term) {
		return new LeaseResponse.Found(era, revision, lease("other", term, era));
	}

	private Step next() {
		return this.election.next(Map::of, this.nowMillis);
	}

	private Change respond(LeaseResponse response) {
		return this.election.onResponse(next(), response, this.nowMillis, this.nowMillis);
	}

	/**
	 * Waits until the next read and answers it, and the fresh read that may follow.
	 */
	private void read(LeaseResponse response) {
		if (next() instanceof Step.Pause pause) {
			this.nowMillis = pause.untilMillis();
		}
		assertThat(next()).isEqualTo(new Step.Read(false));
		respond(response);
		if (next() instanceof Step.Read) {
			respond(response);
		}
	}

	private void waitMillis(long millis) {
		this.nowMillis += millis;
	}

	private Optional<LeaderTerm> term() {
		return this.election.term(this.nowMillis);
	}

	private Step.Replace nextReplace() {
		return (Step.Replace) next();
	}

	/**
	 * Nothing has been read yet in this era.
	 */
	@Nested
	class Unknown {

		@Test
		void reads() {
			assertThat(next()).isInstanceOf(Step.Read.class);
			assertThat(term()).isEmpty();
		}

		@Test
		void noResponsePausesForAPoll() {
			LeaderElectionTests.this.election.onFailure(next(), LeaderElectionTests.this.nowMillis);
			Step.Pause pause = (Step.Pause) next();
			assertThat(pause.untilMillis() - LeaderElectionTests.this.nowMillis).isIn(Range.closed(1_000L, 2_000L));
		}

		@Test
		void firstResponseBeginsTheEra() {
			assertThat(respond(other(3, 7, 4))).isEqualTo(Change.NONE);
			assertThat(next()).isInstanceOf(Step.Read.class);
			assertThat(term()).isEmpty();
		}

	}

	/**
	 * A lease of another process, or none, has been seen for a shorter time than the
	 * takeover takes.
	 */
	@Nested
	class Waiting {

		@BeforeEach
		void observe() {
			respond(other(1, 7, 4));
			read(other(1, 7, 4));
		}

		@Test
		void sameRevisionDoesNotEndTheWaitEarly() {
			waitMillis(TAKEOVER_MILLIS - 1);
			read(other(1, 7, 4));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		@Test
		void sameRevisionForTheWholeTimeAllowsTheTakeover() {
			waitMillis(TAKEOVER_MILLIS);
			read(other(1, 7, 4));
			Step.Replace take = nextReplace();
			assertThat(take.purpose()).isEqualTo(Step.Purpose.TAKE);
			assertThat(take.revision()).isEqualTo(7);
			assertThat(take.lease().term()).isEqualTo(5);
			assertThat(take.lease().states()).containsExactly("task", new SavedState(1, IntNode.valueOf(7)));
		}

		@Test
		void otherRevisionStartsTheCountAnew() {
			waitMillis(TAKEOVER_MILLIS);
			read(other(1, 8, 4));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		@Test
		void anOldReadAloneAllowsNoWrite() {
			waitMillis(TAKEOVER_MILLIS);
			respond(other(1, 7, 4));
			assertThat(next()).isEqualTo(new Step.Read(true));
			respond(new LeaseResponse.Found(1, 7, lease("third", 4, 1)));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		@Test
		void missingObjectStartsTheCountAnewAndIsThenCreatedWithAHigherTerm() {
			waitMillis(TAKEOVER_MILLIS);
			read(new LeaseResponse.Missing(1));
			assertThat(next()).isInstanceOf(Step.Pause.class);
			waitMillis(TAKEOVER_MILLIS);
			read(new LeaseResponse.Missing(1));
			assertThat(((Step.Create) next()).lease().term()).isEqualTo(5);
		}

		@Test
		void ownLostWriteOfThisEraIsResumedAtOnce() {
			read(new LeaseResponse.Found(1, 8, lease("me", 5, 1)));
			assertThat(nextReplace().purpose()).isEqualTo(Step.Purpose.RESUME);
			assertThat(respond(new LeaseResponse.Written(1, 9))).isEqualTo(Change.ACQUIRED);
			assertThat(term().orElseThrow().token()).isEqualTo((1L << 32) + 5);
		}

		@Test
		void ownWriteOfAnEarlierEraIsNotResumed() {
			read(new LeaseResponse.Found(1, 8, lease("me", 5, 0)));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		@Test
		void eraRiseStartsTheCountAnew() {
			waitMillis(TAKEOVER_MILLIS);
			read(other(2, 7, 4));
			read(other(2, 7, 4));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		@Test
		void lowerEraIsDiscarded() {
			waitMillis(TAKEOVER_MILLIS);
			respond(other(0, 7, 4));
			assertThat(next()).isInstanceOf(Step.Pause.class);
			assertThat(term()).isEmpty();
		}

		@Test
		void tokenToldByTheLeaderRaisesTheNextTerm() {
			LeaderElectionTests.this.election.onTokenSeen((1L << 32) + 9);
			waitMillis(TAKEOVER_MILLIS);
			read(other(1, 7, 4));
			assertThat(nextReplace().lease().term()).isEqualTo(10);
		}

	}

	/**
	 * The write that takes the lease is sent.
	 */
	@Nested
	class Taking {

		@BeforeEach
		void takeOver() {
			respond(other(1, 7, 4));
			read(other(1, 7, 4));
			waitMillis(TAKEOVER_MILLIS);
			read(other(1, 7, 4));
		}

		@Test
		void acknowledgementMakesALeaderFromTheTimeOfTheSending() {
			Step take = next();
			long sentMillis = LeaderElectionTests.this.nowMillis;
			waitMillis(400);
			assertThat(LeaderElectionTests.this.election.onResponse(take, new LeaseResponse.Written(1, 8), sentMillis,
					LeaderElectionTests.this.nowMillis))
				.isEqualTo(Change.ACQUIRED);
			assertThat(term()).hasValue(new LeaderTerm("vm-1", (1L << 32) + 5, sentMillis + ACT_MILLIS));
		}

		@Test
		void inheritsTheStateAndWhetherItIsComplete() {
			respond(new LeaseResponse.Written(1, 8));
			Handover handover = LeaderElectionTests.this.election.handover("task");
			assertThat(handover.state()).isEqualTo(IntNode.valueOf(7));
			assertThat(handover.complete()).isTrue();
			assertThat(LeaderElectionTests.this.election.handover("unknown").complete()).isFalse();
		}

		@Test
		void conflictStartsTheCountAnew() {
			assertThat(respond(new LeaseResponse.Conflict(1, other(1, 8, 5)))).isEqualTo(Change.NONE);
			assertThat(term()).isEmpty();
			waitMillis(TAKEOVER_MILLIS - 1);
			read(other(1, 8, 5));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		@Test
		void noResponseGivesNoLeaseAndIsFollowedByARead() {
			LeaderElectionTests.this.election.onFailure(next(), LeaderElectionTests.this.nowMillis);
			assertThat(term()).isEmpty();
			read(other(1, 7, 4));
			assertThat(nextReplace().revision()).isEqualTo(7);
		}

		@Test
		void acknowledgementOfALaterEraGivesNoLease() {
			assertThat(respond(new LeaseResponse.Written(2, 8))).isEqualTo(Change.NONE);
			assertThat(term()).isEmpty();
			read(new LeaseResponse.Found(2, 8, lease("me", 5, 1)));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

	}

	/**
	 * This process has the lease.
	 */
	@Nested
	class Leading {

		@BeforeEach
		void lead() {
			respond(other(1, 7, 4));
			read(other(1, 7, 4));
			waitMillis(TAKEOVER_MILLIS);
			read(other(1, 7, 4));
			respond(new LeaseResponse.Written(1, 8));
			waitMillis(1_000);
		}

		@Test
		void renewsEachSecondWithTheStates() {
			Step.Replace renewal = (Step.Replace) LeaderElectionTests.this.election
				.next(() -> Map.<String, JsonNode>of("task", IntNode.valueOf(8)), LeaderElectionTests.this.nowMillis);
			assertThat(renewal.purpose()).isEqualTo(Step.Purpose.RENEW);
			assertThat(renewal.revision()).isEqualTo(8);
			assertThat(renewal.lease().term()).isEqualTo(5);
			assertThat(renewal.lease().states()).containsExactly("task", new SavedState(1, IntNode.valueOf(8)));
		}

		@Test
		void acknowledgementExtendsTheTermWithTheSameToken() {
			assertThat(respond(new LeaseResponse.Written(1, 9))).isEqualTo(Change.RENEWED);
			waitMillis(ACT_MILLIS - 1);
			assertThat(term().orElseThrow().token()).isEqualTo((1L << 32) + 5);
		}

		@Test
		void noResponseDoesNotExtendTheTerm() {
			LeaderElectionTests.this.election.onFailure(next(), LeaderElectionTests.this.nowMillis);
			assertThat(term()).isPresent();
			waitMillis(ACT_MILLIS - 1_000);
			assertThat(term()).isEmpty();
			assertThat(next()).isInstanceOf(Step.Read.class);
		}

		@Test
		void conflictWithItsOwnLostWriteIsRenewedAtOnce() {
			LeaseResponse.Found own = new LeaseResponse.Found(1, 9, lease("me", 5, 1));
			assertThat(respond(new LeaseResponse.Conflict(1, own))).isEqualTo(Change.NONE);
			assertThat(term()).isPresent();
			assertThat(nextReplace().revision()).isEqualTo(9);
		}

		@Test
		void conflictWithAnotherProcessEndsTheTerm() {
			assertThat(respond(new LeaseResponse.Conflict(1, other(1, 9, 6)))).isEqualTo(Change.ENDED);
			assertThat(term()).isEmpty();
		}

		@Test
		void conflictWithoutTheObjectEndsTheTerm() {
			assertThat(respond(new LeaseResponse.Conflict(1, null))).isEqualTo(Change.ENDED);
			assertThat(term()).isEmpty();
		}

		@Test
		void missingObjectEndsTheTerm() {
			assertThat(respond(new LeaseResponse.Missing(1))).isEqualTo(Change.ENDED);
			assertThat(term()).isEmpty();
		}

		@Test
		void eraRiseEndsTheTermAlthoughTheWriteIsAcknowledged() {
			assertThat(respond(new LeaseResponse.Written(2, 9))).isEqualTo(Change.ENDED);
			assertThat(term()).isEmpty();
		}

		@Test
		void lowerEraIsNoAcknowledgement() {
			assertThat(respond(new LeaseResponse.Written(0, 9))).isEqualTo(Change.NONE);
			waitMillis(ACT_MILLIS - 1_000);
			assertThat(term()).isEmpty();
		}

		@Test
		void suspensionEndsTheTermByTheBootClock() {
			waitMillis(60_000);
			assertThat(term()).isEmpty();
			read(other(1, 30, 9));
			assertThat(next()).isInstanceOf(Step.Pause.class);
		}

		/**
		 * Guards against a leader without tasks that resumes its own lease.
		 */
		@Test
		void resignedTermIsNeitherResumedNorTakenBeforeOthersCould() {
			Lease own = nextReplace().lease();
			LeaderElectionTests.this.election.resign(LeaderElectionTests.this.nowMillis);
			assertThat(term()).isEmpty();
			long resignedMillis = LeaderElectionTests.this.nowMillis;
			LeaseResponse.Found found = new LeaseResponse.Found(1, 9, own);
			while (!(next() instanceof Step.Replace)) {
				read(found);
			}
			assertThat(LeaderElectionTests.this.nowMillis - resignedMillis).isAtLeast(TAKEOVER_MILLIS + 4_000);
			assertThat(nextReplace().lease().term()).isEqualTo(own.term() + 1);
		}

		@Test
		void stateSavedBeforeARestoreIsIncompleteForTheNextTerm() {
			respond(new LeaseResponse.Written(2, 9));
			long eraSinceMillis = LeaderElectionTests.this.nowMillis;
			LeaseResponse.Found restored = new LeaseResponse.Found(2, 7, lease("other", 4, 1));
			read(restored);
			waitMillis(TAKEOVER_MILLIS);
			read(restored);
			respond(new LeaseResponse.Written(2, 10));
			Handover handover = LeaderElectionTests.this.election.handover("task");
			assertThat(handover.complete()).isFalse();
			assertThat(handover.eraSinceMillis()).isEqualTo(eraSinceMillis);
			assertThat(handover.term().token()).isGreaterThan((1L << 32) + 5);
		}

	}

}
