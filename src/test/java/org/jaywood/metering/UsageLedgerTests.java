package org.jaywood.metering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.leader.CloudResponse;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against windows that are counted twice, sealed too early, sent before they are
 * saved, or kept without bound.
 */
class UsageLedgerTests {

	private static final long WINDOW = 340_000_000;

	private static final long START_MILLIS = WINDOW * 5_000;

	private static final long END_MILLIS = START_MILLIS + 5_000;

	private final UsageLedger ledger = ledger();

	private static UsageLedger ledger() {
		UsageLedger ledger = new UsageLedger(new UsageWindows(5_000, 10_000));
		ledger.begin(null, WINDOW, START_MILLIS);
		return ledger;
	}

	private void merge(String process, long window, long count) {
		this.ledger.merge(new ProcessCounts(process, Map.of(window, Map.of("a", count))), START_MILLIS);
	}

	private void seal() {
		this.ledger.seal(List.of(WINDOW), END_MILLIS + 3_000);
	}

	private void save() {
		this.ledger.onSaved(this.ledger.state());
	}

	@Nested
	class Merging {

		@Test
		void repeatedAndOldCountsChangeNothingAndProcessesAddUp() {
			merge("p", WINDOW, 5);
			merge("p", WINDOW, 5);
			merge("p", WINDOW, 3);
			merge("q", WINDOW, 2);
			seal();
			save();
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 3_000))
				.hasValue(new UsageReport(WINDOW, Map.of("a", 7L)));
		}

		/**
		 * Gateways repeat their cumulative counts several times a second.
		 */
		@Test
		void droppedCallsCountOnce() {
			Map<String, Long> many = new HashMap<>();
			for (int number = 0; number < UsageWindows.MAX_WORKSPACES; number++) {
				many.put("workspace-" + number, 1L);
			}
			UsageLedger ledger = UsageLedgerTests.this.ledger;
			ledger.merge(new ProcessCounts("p", Map.of(WINDOW, many)), START_MILLIS);
			ledger.merge(new ProcessCounts("q", Map.of(WINDOW, many)), START_MILLIS);
			ledger.merge(new ProcessCounts("r", Map.of(WINDOW, Map.of("late", 7L))), START_MILLIS);
			long dropped = ledger.dropped();
			assertThat(dropped).isGreaterThan(7L);
			ledger.merge(new ProcessCounts("r", Map.of(WINDOW, Map.of("late", 7L))), START_MILLIS);
			assertThat(ledger.dropped()).isEqualTo(dropped);
			ledger.merge(new ProcessCounts("r", Map.of(WINDOW, Map.of("late", 9L))), START_MILLIS);
			assertThat(ledger.dropped()).isEqualTo(dropped + 2);
		}

		@Test
		void countsAfterTheSealAreDropped() {
			merge("p", WINDOW, 5);
			seal();
			merge("p", WINDOW, 9);
			save();
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 3_000).orElseThrow().counts())
				.containsExactly("a", 5L);
		}

		@Test
		void windowsAndWorkspacesBeyondTheBoundAreDropped() {
			Map<String, Long> many = new HashMap<>();
			for (int number = 0; number < 10_000; number++) {
				many.put("workspace-" + number, 1L);
			}
			UsageLedgerTests.this.ledger.merge(new ProcessCounts("p", Map.of(WINDOW, many)), START_MILLIS);
			assertThat(UsageLedgerTests.this.ledger.dropped()).isAtLeast(10_000 - UsageWindows.MAX_WORKSPACES);
			merge("p", WINDOW + 40, 1);
			assertThat(UsageLedgerTests.this.ledger.state().path("open").size()).isEqualTo(1);
			assertThat(UsageLedgerTests.this.ledger.state().toString().length()).isLessThan(160 * 1024);
		}

	}

	@Nested
	class Sealing {

		@Test
		void windowIsSealedThreeSecondsAfterItsEndInOrder() {
			assertThat(UsageLedgerTests.this.ledger.sealable(END_MILLIS + 2_999)).isEmpty();
			assertThat(UsageLedgerTests.this.ledger.sealable(END_MILLIS + 3_000)).containsExactly(WINDOW);
		}

		@Test
		void newLeaderWaitsForTheCountsOfTheGatewaysUnlessTheReportIsDueSoon() {
			UsageLedgerTests.this.ledger.begin(null, WINDOW, END_MILLIS + 5_000);
			assertThat(UsageLedgerTests.this.ledger.sealable(END_MILLIS + 6_499)).isEmpty();
			assertThat(UsageLedgerTests.this.ledger.sealable(END_MILLIS + 6_500)).contains(WINDOW);
			UsageLedgerTests.this.ledger.begin(null, WINDOW, END_MILLIS + 7_000);
			assertThat(UsageLedgerTests.this.ledger.sealable(END_MILLIS + 7_500)).contains(WINDOW);
		}

		@Test
		void windowWhoseReportIsDueIsSkipped() {
			UsageLedger.Sealing sealing = UsageLedgerTests.this.ledger.seal(List.of(WINDOW), END_MILLIS + 10_000);
			assertThat(sealing.skipped()).containsExactly(WINDOW);
			assertThat(sealing.reports()).isEmpty();
		}

		@Test
		void totalIsSentOnlyAfterTheStoreHasIt() {
			merge("p", WINDOW, 5);
			seal();
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 3_000)).isEmpty();
			assertThat(UsageLedgerTests.this.ledger.lastSaved()).isEqualTo(WINDOW - 1);
			save();
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 3_000)).isPresent();
			assertThat(UsageLedgerTests.this.ledger.lastSaved()).isEqualTo(WINDOW);
		}

	}

	@Nested
	class Sending {

		@Test
		void reportIsRepeatedUnchangedWithBackoffUntilItIsAccepted() {
			merge("p", WINDOW, 5);
			seal();
			save();
			long nowMillis = END_MILLIS + 3_000;
			UsageReport report = UsageLedgerTests.this.ledger.nextReport(nowMillis).orElseThrow();
			UsageLedgerTests.this.ledger.onResponse(report, new CloudResponse.Refused(429), nowMillis);
			assertThat(UsageLedgerTests.this.ledger.nextReport(nowMillis + 249)).isEmpty();
			assertThat(UsageLedgerTests.this.ledger.nextReport(nowMillis + 250)).hasValue(report);
			UsageLedgerTests.this.ledger.onResponse(report, new CloudResponse.Accepted(), nowMillis + 250);
			assertThat(UsageLedgerTests.this.ledger.nextReport(nowMillis + 5_000)).isEmpty();
			assertThat(UsageLedgerTests.this.ledger.lastAccepted()).isEqualTo(WINDOW);
		}

		@Test
		void dueWindowIsForgottenAndNamedIfNotAccepted() {
			seal();
			save();
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 10_000)).isEmpty();
			assertThat(UsageLedgerTests.this.ledger.removeDue(END_MILLIS + 10_000)).containsExactly(WINDOW);
			assertThat(UsageLedgerTests.this.ledger.removeDue(END_MILLIS + 10_000)).isEmpty();
		}

	}

	@Nested
	class Takeover {

		@Test
		void nextLeaderSendsTheSavedTotalAndGoesOnWithTheOpenCounts() {
			merge("p", WINDOW, 5);
			merge("p", WINDOW + 1, 4);
			seal();
			JsonNode state = UsageLedgerTests.this.ledger.state();
			UsageLedger next = new UsageLedger(new UsageWindows(5_000, 10_000));
			next.begin(state, 0, END_MILLIS + 4_000);
			next.merge(new ProcessCounts("q", Map.of(WINDOW, Map.of("a", 9L), WINDOW + 1, Map.of("a", 1L))),
					END_MILLIS + 4_000);
			assertThat(next.nextReport(END_MILLIS + 4_000)).hasValue(new UsageReport(WINDOW, Map.of("a", 5L)));
			UsageLedger.Sealing sealing = next.seal(List.of(WINDOW + 1), END_MILLIS + 8_000);
			assertThat(sealing.reports()).containsExactly(new UsageReport(WINDOW + 1, Map.of("a", 5L)));
		}

		@Test
		void windowsBeforeTheFirstOneAllowedAreSkipped() {
			merge("p", WINDOW, 5);
			UsageLedger next = new UsageLedger(new UsageWindows(5_000, 10_000));
			next.begin(UsageLedgerTests.this.ledger.state(), WINDOW + 1, END_MILLIS + 1_000);
			assertThat(next.sealable(END_MILLIS + 8_000)).containsExactly(WINDOW + 1);
		}

		@Test
		void ownSavedTotalIsSentAfterARestoreHasLostIt() {
			merge("p", WINDOW, 5);
			seal();
			save();
			UsageLedgerTests.this.ledger.begin(null, WINDOW + 1, END_MILLIS + 6_000);
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 6_000))
				.hasValue(new UsageReport(WINDOW, Map.of("a", 5L)));
		}

		@Test
		void totalThatWasNeverSavedIsForgotten() {
			merge("p", WINDOW, 5);
			seal();
			UsageLedgerTests.this.ledger.begin(null, WINDOW + 1, END_MILLIS + 6_000);
			save();
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 6_000)).isEmpty();
		}

		@Test
		void twoSavedTotalsOfOneWindowAreBothHeldBack() {
			merge("p", WINDOW, 5);
			seal();
			save();
			UsageLedger other = ledger();
			other.seal(List.of(WINDOW), END_MILLIS + 3_000);
			UsageLedgerTests.this.ledger.begin(other.state(), 0, END_MILLIS + 6_000);
			assertThat(UsageLedgerTests.this.ledger.nextReport(END_MILLIS + 6_000)).isEmpty();
		}

		/**
		 * Guards against a window that counts as accepted although its report is held
		 * back, and against a next leader that sends it.
		 */
		@Test
		void windowThatIsHeldBackIsNotAcceptedAndIsHeldBackByTheNextLeader() {
			merge("p", WINDOW, 5);
			seal();
			save();
			UsageLedger other = ledger();
			other.seal(List.of(WINDOW), END_MILLIS + 3_000);
			UsageLedgerTests.this.ledger.begin(other.state(), 0, END_MILLIS + 6_000);
			UsageLedger next = new UsageLedger(new UsageWindows(5_000, 10_000));
			next.begin(UsageLedgerTests.this.ledger.state(), 0, END_MILLIS + 8_000);
			assertThat(next.nextReport(END_MILLIS + 8_000)).isEmpty();
			assertThat(next.removeDue(END_MILLIS + 10_000)).containsExactly(WINDOW);
			// A leader of an earlier release sends what is not accepted.
			assertThat(UsageLedgerTests.this.ledger.state()
				.path("sealed")
				.path(Long.toString(WINDOW))
				.path("accepted")
				.asBoolean()).isTrue();
			assertThat(UsageLedgerTests.this.ledger.removeDue(END_MILLIS + 10_000)).containsExactly(WINDOW);
		}

	}

}
