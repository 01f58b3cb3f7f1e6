package org.jaywood.routing;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against sound parts that are taken for the cause of a crash, and against a part
 * that crashes engines without being recognised.
 */
class CrashEvidenceTests {

	private static final long NOW = 10_000_000;

	private final CrashEvidence evidence = new CrashEvidence();

	private void addCrash(String engine, String... parts) {
		this.evidence.addCrash(engine, Set.of(parts), false, NOW, NOW);
	}

	private boolean blocks(String... parts) {
		return this.evidence.blocking(Set.of(parts)).isPresent();
	}

	/**
	 * When a part counts as the cause.
	 */
	@Nested
	class Blame {

		@Test
		void twoEndsBlameNobody() {
			addCrash("e1", "bad");
			addCrash("e2", "bad");
			assertThat(blocks("bad")).isFalse();
		}

		@Test
		void manyCallsUnderOneEndBlameNobody() {
			IntStream.range(0, 10).forEach((number) -> addCrash("e1", "bad", "other" + number));
			assertThat(blocks("bad")).isFalse();
		}

		@Test
		void threeEndsBlameWhatTheyHaveInCommon() {
			addCrash("e1", "bad", "a");
			addCrash("e2", "bad", "b");
			addCrash("e3", "bad", "c");
			assertThat(blocks("bad", "d")).isTrue();
			assertThat(blocks("a", "b", "c")).isFalse();
		}

		@Test
		void callThatTheEngineHadBegunIsMoreLikelyTheCauseThanThoseThatWaited() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> {
				CrashEvidenceTests.this.evidence.addCrash(engine, Set.of("bad"), true, NOW, NOW);
				addCrash(engine, "waiting");
			});
			assertThat(blocks("bad")).isTrue();
			assertThat(blocks("waiting")).isFalse();
		}

		@Test
		void twoPartsThatFitEquallyWellAreToldApartByAFurtherEnd() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> {
				addCrash(engine, "bad");
				addCrash(engine, "beside");
			});
			assertThat(blocks("bad")).isFalse();
			addCrash("e4", "bad");
			assertThat(blocks("bad")).isTrue();
			assertThat(blocks("beside")).isFalse();
		}

		@Test
		void fiveEndsBlameAPartThatNeverStandsOut() {
			IntStream.range(0, 5)
				.forEach((end) -> IntStream.range(0, 9).forEach((call) -> addCrash("e" + end, "part" + call)));
			assertThat(blocks("part0")).isTrue();
		}

		@Test
		void partThatIsAlwaysBesideTheCauseIsNotBlamedAlone() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> addCrash(engine, "bad", "first"));
			assertThat(blocks("bad", "first")).isTrue();
			assertThat(blocks("first")).isFalse();
		}

		@Test
		void partIsNotBlamedAloneForAnotherCallUnderTheSameEnd() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> addCrash(engine, "bad", "first"));
			addCrash("e3", "first");
			assertThat(blocks("first")).isFalse();
		}

	}

	/**
	 * What clears a part.
	 */
	@Nested
	class Proof {

		@Test
		void provenPartIsNotBlamed() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> addCrash(engine, "sound"));
			assertThat(blocks("sound")).isTrue();
			CrashEvidenceTests.this.evidence.addSound("sound", NOW + 5, NOW + 5);
			assertThat(blocks("sound")).isFalse();
		}

		@Test
		void proofOfItsCompanionLeavesTheCauseAlone() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> addCrash(engine, "bad", "first"));
			CrashEvidenceTests.this.evidence.addSound("first", NOW, NOW);
			assertThat(blocks("bad", "another")).isTrue();
		}

		@Test
		void partThatTurnsBadIsBlamedOnceItsProofIsOld() {
			CrashEvidenceTests.this.evidence.addSound("part", NOW, NOW);
			long laterMillis = NOW + CrashEvidence.PROOF_LIFETIME_MILLIS + 1;
			Stream.of("e1", "e2", "e3")
				.forEach((engine) -> CrashEvidenceTests.this.evidence.addCrash(engine, Set.of("part"), false,
						laterMillis, laterMillis));
			assertThat(blocks("part")).isTrue();
		}

	}

	/**
	 * Memory that somebody who sends parts without end can take, and messages that say
	 * nothing.
	 */
	@Nested
	class Bounds {

		@Test
		void partsWithoutEndDoNotDisplaceABlockedPart() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> addCrash(engine, "bad"));
			IntStream.range(0, 10_000).forEach((number) -> addCrash("end" + number / 100, "part" + number));
			assertThat(blocks("bad")).isTrue();
			assertThat(CrashEvidenceTests.this.evidence.changes(0, Integer.MAX_VALUE, NOW).list().size())
				.isAtMost(CrashEvidence.MAX_CRASHES);
		}

		@Test
		void provenPartsAreBounded() {
			IntStream.range(0, 10_000)
				.forEach((number) -> CrashEvidenceTests.this.evidence.addSound("part" + number, NOW, NOW));
			assertThat(CrashEvidenceTests.this.evidence.changes(0, Integer.MAX_VALUE, NOW).list().size())
				.isAtMost(CrashEvidence.MAX_SOUND_PARTS);
		}

		@Test
		void emptyOverlongAndFutureRecordsSayNothing() {
			String overlong = "x".repeat(1_000);
			List<CrashRecord> crashes = Stream.of("e1", "e2", "e3")
				.flatMap((engine) -> Stream.of(new CrashRecord(engine + overlong, Set.of("part"), false, 0),
						new CrashRecord(engine, Set.of(), false, 0)))
				.toList();
			assertThat(CrashEvidenceTests.this.evidence
				.merge(new EvidenceMessage(crashes, List.of(new SoundRecord(overlong, 0))), NOW)).isFalse();
			CrashEvidenceTests.this.evidence.merge(new EvidenceMessage(
					List.of(new CrashRecord("e1", Set.of("part"), false, Long.MIN_VALUE)), List.of()), NOW);
			assertThat(CrashEvidenceTests.this.evidence.changes(0, 10, NOW).message().crashes().getFirst().ageMillis())
				.isEqualTo(0);
		}

		@Test
		void endsAreForgotten() {
			Stream.of("e1", "e2", "e3").forEach((engine) -> addCrash(engine, "bad"));
			CrashEvidenceTests.this.evidence.expire(NOW + CrashEvidence.LIFETIME_MILLIS + 1);
			assertThat(blocks("bad")).isFalse();
		}

	}

}
