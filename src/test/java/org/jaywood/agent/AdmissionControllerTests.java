package org.jaywood.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.Failures;
import org.jaywood.wire.RefusalReason;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that are sent to an engine that has no capacity for them or may
 * not serve them.
 */
class AdmissionControllerTests {

	private static final int COLD_LIMIT = 2;

	private static final long MEMORY_BYTES = 1_000;

	private final AdmissionController admission = new AdmissionController();

	private void reportStatus(String instance, String state, int inFlight) {
		this.admission.onEngineStatus(this.admission.epoch(), this.admission.orphanedCalls(),
				new EngineStatus(instance, state, "w", 1, inFlight, 0, MEMORY_BYTES, COLD_LIMIT, 8, true));
	}

	private RefusalReason refusal(String weights, long bytes) {
		return Failures.thrownBy(AdmissionRefusedException.class, () -> this.admission.admit(weights, bytes, bytes))
			.reason();
	}

	@Nested
	class Start {

		@Test
		void refusesUntilCallsOfEarlierAgentEnded() {
			AdmissionControllerTests.this.admission.open();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			reportStatus("a", "warm", 3);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			reportStatus("a", "warm", 0);
			assertThat(AdmissionControllerTests.this.admission.admit("", 1, 1)).isNotNull();
		}

	}

	@Nested
	class OpenWithWarmEngine {

		private final AdmissionController admission = AdmissionControllerTests.this.admission;

		@BeforeEach
		void open() {
			reportStatus("a", "warm", 0);
			reportStatus("a", "warm", 0);
			this.admission.open();
		}

		private List<AdmissionController.Permit> admitWithHeads(int count) {
			List<AdmissionController.Permit> permits = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				AdmissionController.Permit permit = this.admission.admit("w", 1, 1);
				permit.onResponseHead(new EngineResponseHeaders("a", true, "w"));
				permits.add(permit);
			}
			return permits;
		}

		private void raiseLimit() {
			for (int i = 0; i < 20; i++) {
				AdmissionController.Permit permit = this.admission.admit("", 1, 1);
				permit.onResponseHead(new EngineResponseHeaders("a", true, "w"));
				permit.completed(5);
			}
		}

		@Test
		void refusalNamesItsReason() {
			assertThat(refusal("other", 1)).isEqualTo(RefusalReason.WRONG_WEIGHTS);
			assertThat(refusal("", MEMORY_BYTES + 1)).isEqualTo(RefusalReason.MEMORY_FULL);
			admitWithHeads(COLD_LIMIT);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			this.admission.beginShutdown();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.DRAINING);
		}

		@Test
		void admitsAtMostColdLimitWithoutHeads() {
			raiseLimit();
			admitWithHeads(3);
			this.admission.admit("", 1, 1);
			this.admission.admit("", 1, 1);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
		}

		@Test
		void callsInFlightCountAgainstColdLimitAfterReset() {
			raiseLimit();
			List<AdmissionController.Permit> earlierPermits = admitWithHeads(6);
			AdmissionController.Permit coldPermit = this.admission.admit("", 1, 1);
			assertThat(coldPermit.onResponseHead(new EngineResponseHeaders("a", false, "w"))).isTrue();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.COLD_FULL);
			earlierPermits.forEach((permit) -> permit.completed(5));
			assertThat(this.admission.load().limit()).isEqualTo(COLD_LIMIT);
			assertThat(this.admission.admit("", 1, 1)).isNotNull();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.COLD_FULL);
		}

		@Test
		void orphanedCallCountsUntilStatusShowsItsEnd() {
			List<AdmissionController.Permit> permits = admitWithHeads(COLD_LIMIT);
			permits.getFirst().releaseAsOrphaned();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			reportStatus("a", "warm", COLD_LIMIT);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			reportStatus("a", "warm", COLD_LIMIT - 1);
			assertThat(this.admission.admit("", 1, 1)).isNotNull();
		}

		@Test
		void refusesCallWhoseMaxBytesExceedEngineMemory() {
			assertThat(Failures
				.thrownBy(AdmissionRefusedException.class, () -> this.admission.admit("", 1, MEMORY_BYTES + 1))
				.reason()).isEqualTo(RefusalReason.MEMORY_FULL);
		}

		@Test
		void drainingReadmitsCallsButAdmitsNoNewOnes() throws Exception {
			this.admission.drain();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			assertThat(this.admission.readmit("w", 1, 0)).isNotNull();
			this.admission.close();
			assertThat(Failures.thrownBy(AdmissionRefusedException.class, () -> this.admission.readmit("w", 1, 0))
				.reason()).isEqualTo(RefusalReason.NOT_READY);
		}

		@Test
		void resumingCallHasPrecedenceOverNewCalls() throws Exception {
			List<AdmissionController.Permit> permits = admitWithHeads(COLD_LIMIT);
			CompletableFuture<AdmissionController.Permit> resumed = new CompletableFuture<>();
			Thread.startVirtualThread(() -> {
				try {
					resumed.complete(this.admission.readmit("w", 1, 10_000));
				}
				catch (InterruptedException | RuntimeException ex) {
					resumed.completeExceptionally(ex);
				}
			});
			while (this.admission.resumingCalls() == 0) {
				Thread.onSpinWait();
			}
			synchronized (this.admission) {
				permits.getFirst().completed(5);
				assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			}
			assertThat(resumed.get(10, TimeUnit.SECONDS)).isNotNull();
		}

		@Test
		void repeatedReleaseHasNoEffect() {
			AdmissionController.Permit permit = admitWithHeads(1).getFirst();
			permit.completed(5);
			permit.releaseAsOrphaned();
			permit.release();
			assertThat(this.admission.inFlight()).isEqualTo(0);
			assertThat(this.admission.orphanedCalls()).isEqualTo(0);
			assertThat(this.admission.load().heldBytes()).isEqualTo(0);
		}

	}

}
