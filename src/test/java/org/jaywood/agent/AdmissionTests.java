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
class AdmissionTests {

	private static final int COLD_LIMIT = 2;

	private static final long MEMORY_BYTES = 1_000;

	private final Admission admission = new Admission();

	private void status(String instance, String state, int inFlight) {
		this.admission.observeStatus(this.admission.epoch(), this.admission.lingering(),
				new EngineStatus(instance, state, "w", 1, inFlight, 0, MEMORY_BYTES, COLD_LIMIT, 8, true));
	}

	private RefusalReason refusal(String weights, long bytes) {
		return Failures.thrownBy(AdmissionRefusal.class, () -> this.admission.admit(weights, bytes, bytes)).reason();
	}

	@Nested
	class Start {

		@Test
		void waitsForCallsOfThePredecessor() {
			AdmissionTests.this.admission.open();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			status("a", "warm", 3);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			status("a", "warm", 0);
			assertThat(AdmissionTests.this.admission.admit("", 1, 1)).isNotNull();
		}

	}

	@Nested
	class OpenWithWarmEngine {

		private final Admission admission = AdmissionTests.this.admission;

		@BeforeEach
		void open() {
			status("a", "warm", 0);
			status("a", "warm", 0);
			this.admission.open();
		}

		private List<Admission.Ticket> fill(int count) {
			List<Admission.Ticket> tickets = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				Admission.Ticket ticket = this.admission.admit("w", 1, 1);
				ticket.head(new EngineHead("a", true, "w"));
				tickets.add(ticket);
			}
			return tickets;
		}

		private void rise() {
			for (int i = 0; i < 20; i++) {
				Admission.Ticket ticket = this.admission.admit("", 1, 1);
				ticket.head(new EngineHead("a", true, "w"));
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
			List<Admission.Ticket> old = fill(6);
			Admission.Ticket cold = this.admission.admit("", 1, 1);
			assertThat(cold.head(new EngineHead("a", false, "w"))).isTrue();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.COLD_FULL);
			old.forEach((ticket) -> ticket.completed(5));
			assertThat(this.admission.load().limit()).isEqualTo(COLD_LIMIT);
			assertThat(this.admission.admit("", 1, 1)).isNotNull();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.COLD_FULL);
		}

		@Test
		void closedConnectionKeepsItsPlaceUntilTheEngineNoticed() {
			List<Admission.Ticket> tickets = fill(COLD_LIMIT);
			tickets.getFirst().linger();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			status("a", "warm", COLD_LIMIT);
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.FULL);
			status("a", "warm", COLD_LIMIT - 1);
			assertThat(this.admission.admit("", 1, 1)).isNotNull();
		}

		@Test
		void refusesACallThatOutgrowsTheMemoryOfTheEngine() {
			assertThat(Failures.thrownBy(AdmissionRefusal.class, () -> this.admission.admit("", 1, MEMORY_BYTES + 1))
				.reason()).isEqualTo(RefusalReason.MEMORY_FULL);
		}

		@Test
		void drainingLetsAdmittedCallsComeBackButNoNewOnes() throws Exception {
			this.admission.drain();
			assertThat(refusal("", 1)).isEqualTo(RefusalReason.NOT_READY);
			assertThat(this.admission.readmit("w", 1, 0)).isNotNull();
			this.admission.close();
			assertThat(Failures.thrownBy(AdmissionRefusal.class, () -> this.admission.readmit("w", 1, 0)).reason())
				.isEqualTo(RefusalReason.NOT_READY);
		}

		@Test
		void newCallsLeaveRoomForOneThatComesBack() throws Exception {
			List<Admission.Ticket> tickets = fill(COLD_LIMIT);
			CompletableFuture<Admission.Ticket> resumed = new CompletableFuture<>();
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
			Admission.Ticket ticket = fill(1).getFirst();
			ticket.completed(5);
			ticket.linger();
			ticket.release();
			assertThat(this.admission.inFlight()).isEqualTo(0);
			assertThat(this.admission.lingering()).isEqualTo(0);
			assertThat(this.admission.load().heldBytes()).isEqualTo(0);
		}

	}

}
