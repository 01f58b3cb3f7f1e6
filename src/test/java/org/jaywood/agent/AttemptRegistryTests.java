package org.jaywood.agent;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.wire.FenceReply;
import org.jaywood.wire.RefusalReason;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an attempt that runs twice, or that runs after its router was told that
 * it will not run.
 */
class AttemptRegistryTests {

	@Property(tries = 1_000, seed = "1")
	void neverAdmitsTwiceNorAfterReportedNotRun(@ForAll("steps") List<Step> steps) {
		AttemptRegistry registry = new AttemptRegistry(3, 4);
		Set<String> admitted = new HashSet<>();
		Set<String> notRun = new HashSet<>();
		for (Step step : steps) {
			String key = step.router() + "/" + step.attempt();
			switch (step.action()) {
				case ADMIT -> admit(registry, step, key, admitted, notRun);
				case FENCE -> {
					FenceReply.State state = registry.fence(step.router(), step.attempt());
					if (state == FenceReply.State.NEVER_ADMITTED) {
						assertThat(admitted).doesNotContain(key);
						notRun.add(key);
					}
				}
				case END -> registry.markEnded(step.router(), step.attempt());
			}
		}
	}

	private static void admit(AttemptRegistry registry, Step step, String key, Set<String> admitted,
			Set<String> notRun) {
		try {
			registry.admitOnce(step.router(), step.attempt(), () -> {
				if (step.full()) {
					throw new AdmissionRefusedException(RefusalReason.FULL, 0);
				}
				return "";
			});
			assertThat(admitted.add(key)).isTrue();
			assertThat(notRun).doesNotContain(key);
		}
		catch (AdmissionRefusedException refusal) {
			if (refusal.reason().provesNotRun()) {
				assertThat(admitted).doesNotContain(key);
				notRun.add(key);
			}
		}
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<Long> attempts = Arbitraries.frequencyOf(Tuple.of(8, Arbitraries.longs().between(1, 12)),
				Tuple.of(1, Arbitraries.longs().between(4_090, 4_112)),
				Tuple.of(1, Arbitraries.longs().between(8_190, 8_200)));
		return Combinators
			.combine(Arbitraries.of(Action.class), Arbitraries.of("a", "b", "c", "d", "e", "f", "g", "h"), attempts,
					Arbitraries.of(false, false, false, true))
			.as(Step::new)
			.list()
			.ofMaxSize(200);
	}

	private enum Action {

		ADMIT, FENCE, END

	}

	private record Step(Action action, String router, long attempt, boolean full) {
	}

	@Nested
	class Fence {

		private final AttemptRegistry registry = new AttemptRegistry();

		@Test
		void fencesLowerNumbersThatDidNotArrive() {
			assertThat(this.registry.fence("r", 5)).isEqualTo(FenceReply.State.NEVER_ADMITTED);
			assertThat(refusal(3)).isEqualTo(RefusalReason.FENCED);
			assertThat(this.registry.admitOnce("r", 6, () -> "admitted")).isEqualTo("admitted");
		}

		@Test
		void distinguishesRunningFromEnded() {
			this.registry.admitOnce("r", 1, () -> "");
			assertThat(this.registry.fence("r", 1)).isEqualTo(FenceReply.State.RUNNING);
			this.registry.markEnded("r", 1);
			assertThat(this.registry.fence("r", 1)).isEqualTo(FenceReply.State.FORGOTTEN);
			assertThat(refusal(1)).isEqualTo(RefusalReason.DUPLICATE);
		}

		@Test
		void attemptBelowWindowIsForgotten() {
			this.registry.admitOnce("r", 1, () -> "");
			this.registry.markEnded("r", 1);
			this.registry.admitOnce("r", 1 + AttemptRegistry.WINDOW_ATTEMPTS, () -> "");
			assertThat(this.registry.fence("r", 1)).isEqualTo(FenceReply.State.FORGOTTEN);
			assertThat(refusal(1)).isEqualTo(RefusalReason.DUPLICATE);
		}

		/**
		 * Guards against an unknown outcome for a call that did not run: in a burst the
		 * first of many attempts of one router arrives last.
		 */
		@Test
		void admitsAttemptOvertakenByBurst() {
			for (long attempt = 2; attempt <= 2_000; attempt++) {
				this.registry.admitOnce("r", attempt, () -> "");
				this.registry.markEnded("r", attempt);
			}
			assertThat(this.registry.admitOnce("r", 1, () -> "admitted")).isEqualTo("admitted");
			assertThat(refusal(1)).isEqualTo(RefusalReason.DUPLICATE);
		}

		/**
		 * Guards against a running attempt that is forgotten because its number is below
		 * the window.
		 */
		@Test
		void runningAttemptBelowWindowIsKnown() {
			this.registry.admitOnce("r", 1, () -> "");
			this.registry.admitOnce("r", 2, () -> "");
			this.registry.admitOnce("r", 3L * AttemptRegistry.WINDOW_ATTEMPTS, () -> "");
			assertThat(this.registry.fence("r", 1)).isEqualTo(FenceReply.State.RUNNING);
			this.registry.markEnded("r", 1);
			this.registry.markRefused("r", 2);
			assertThat(this.registry.fence("r", 1)).isEqualTo(FenceReply.State.FORGOTTEN);
			assertThat(this.registry.fence("r", 2)).isEqualTo(FenceReply.State.FORGOTTEN);
			assertThat(refusal(1)).isEqualTo(RefusalReason.DUPLICATE);
		}

		private RefusalReason refusal(long attempt) {
			return Failures
				.thrownBy(AdmissionRefusedException.class, () -> this.registry.admitOnce("r", attempt, () -> ""))
				.reason();
		}

	}

}
