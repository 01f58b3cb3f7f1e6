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
 * Guards against calls that reach an engine that cannot hold them or may not serve them.
 */
class AdmissionControllerTests {

	private static final int COLD_LIMIT = 2;

	private static final long MEMORY_BYTES = 1_000;

	private final AdmissionController admission = new AdmissionController();

	private void status(String instance, String state, int inFlight) {
		this.admission.onEngineStatus(this.admission.epoch(), this.admission.orphaned(),
				new EngineStatus(instance, state, "w", 1, inFlight, 0, MEMORY_BYTES, COLD_LIMIT, 8, true));
	}

	private RefusalReason refusal(String weights, long bytes) {
		return Failures.thrownBy(AdmissionRefusedException.class, () -> this.admission.admit(weights, bytes, bytes))
			.reason();
	}

	@Nested
	class Start {

		@Test
		void waitsForCallsOfThePredecessor() {
			AdmissionControllerTests.this.admission.open();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			status("a", "warm", 3);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			status("a", "warm", 0);
			assertThat(AdmissionControllerTests.this.admission.admit("", 1, 1)).isNotNull();
		}

	}

	@Nested
	class OpenWithWarmEngine {

		private final AdmissionController admission = AdmissionControllerTests.this.admission;

		@BeforeEach
		void open() {
			status("a", "warm", 0);
			status("a", "warm", 0);
			this.admission.open();
		}

		private List<AdmissionController.Permit> fill(int count) {
			List<AdmissionController.Permit> tickets = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				AdmissionController.Permit ticket = this.admission.admit("w", 1, 1);
				ticket.onReplyHead(new EngineReplyHeaders("a", true, "w"));
				tickets.add(ticket);
			}
			return tickets;
		}

		private void rise() {
			for (int i = 0; i < 20; i++) {
				AdmissionController.Permit ticket = this.admission.admit("", 1, 1);
				ticket.onReplyHead(new EngineReplyHeaders("a", true, "w"));
				ticket.completed(5);
			}
		}

		@Test
		void refusesByReason() {
			assertThat(refusal("other", 1)).isEqualTo(RefusalReason.WRONG_WEIGHTS);
			assertThat(refusal("", MEMORY_BYTES + 1)).isEqualTo(RefusalReason.MEMORY_FULL);
			fill(COLD_LIMIT);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			this.admission.leave();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.DRAINING);
		}

		@Test
		void sendsNoMoreThanColdLimitWithoutHeads() {
			rise();
			fill(3);
			this.admission.admit("", 1, 1);
			this.admission.admit("", 1, 1);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
		}

		@Test
		void callsInFlightCountAgainstColdLimitAfterReset() {
			rise();
			List<AdmissionController.Permit> old = fill(6);
			AdmissionController.Permit cold = this.admission.admit("", 1, 1);
			assertThat(cold.onReplyHead(new EngineReplyHeaders("a", false, "w"))).isTrue();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.COLD_FULL);
			old.forEach((ticket) -> ticket.completed(5));
			assertThat(this.admission.load().limit()).isEqualTo(COLD_LIMIT);
			assertThat(this.admission.admit("", 1, 1)).isNotNull();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.COLD_FULL);
		}

		@Test
		void closedConnectionKeepsItsPlaceUntilTheEngineNoticed() {
			List<AdmissionController.Permit> tickets = fill(COLD_LIMIT);
			tickets.getFirst().releaseAsOrphaned();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			status("a", "warm", COLD_LIMIT);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			status("a", "warm", COLD_LIMIT - 1);
			assertThat(this.admission.admit("", 1, 1)).isNotNull();
		}

		@Test
		void refusesACallThatOutgrowsTheMemoryOfTheEngine() {
			assertThat(Failures
				.thrownBy(AdmissionRefusedException.class, () -> this.admission.admit("", 1, MEMORY_BYTES + 1))
				.reason()).isEqualTo(RefusalReason.MEMORY_FULL);
		}

		@Test
		void drainingLetsAdmittedCallsComeBackButNoNewOnes() throws Exception {
			this.admission.drain();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			assertThat(this.admission.readmit("w", 1, 0)).isNotNull();
			this.admission.close();
			assertThat(Failures.thrownBy(AdmissionRefusedException.class, () -> this.admission.readmit("w", 1, 0))
				.reason()).isEqualTo(RefusalReason.NOT_READY);
		}

		@Test
		void newCallsLeaveRoomForOneThatComesBack() throws Exception {
			List<AdmissionController.Permit> tickets = fill(COLD_LIMIT);
			CompletableFuture<AdmissionController.Permit> resumed = new CompletableFuture<>();
			Thread.startVirtualThread(() -> {
				try {
					resumed.complete(this.admission.readmit("w", 1, 10_000));
				}
				catch (InterruptedException | RuntimeException ex) {
					resumed.completeExceptionally(ex);
				}
			});
			while (this.admission.resuming() == 0) {
				Thread.onSpinWait();
			}
			synchronized (this.admission) {
				tickets.getFirst().completed(5);
				assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			}
			assertThat(resumed.get(10, TimeUnit.SECONDS)).isNotNull();
		}

		@Test
		void releasesOnce() {
			AdmissionController.Permit ticket = fill(1).getFirst();
			ticket.completed(5);
			ticket.releaseAsOrphaned();
			ticket.release();
			assertThat(this.admission.inFlight()).isEqualTo(0);
			assertThat(this.admission.orphaned()).isEqualTo(0);
			assertThat(this.admission.load().heldBytes()).isEqualTo(0);
		}

	}

}
