package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.jaywood.store.PlatformException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against more upstreams of a service out of service at once than its surge
 * allows, and against slots that stay in use after their holder died or a response was
 * lost.
 */
class ActivationSlotsTests {

	private static final long LEASE_MILLIS = 10_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private final ActivationSlots first = new ActivationSlots(this.store, "pool", "first", LEASE_MILLIS);

	private final ActivationSlots second = new ActivationSlots(this.store, "pool", "second", LEASE_MILLIS);

	@Test
	void grantsAtMostSurgeSlots() {
		assertThat(this.first.acquire(1, 0)).isTrue();
		assertThat(this.second.acquire(1, 0)).isFalse();
		assertThat(this.second.acquire(2, 0)).isTrue();
	}

	@Test
	void grantsSlotAfterRelease() {
		this.first.acquire(1, 0);
		assertThat(this.first.release(0)).isTrue();
		assertThat(this.second.acquire(1, 0)).isTrue();
	}

	@Nested
	class Expiry {

		@Test
		void slotWithoutRenewalExpires() {
			ActivationSlotsTests.this.first.acquire(1, 0);
			assertThat(ActivationSlotsTests.this.second.acquire(1, nanos(100_000))).isFalse();
			assertThat(ActivationSlotsTests.this.second.acquire(1, nanos(114_000))).isFalse();
			assertThat(ActivationSlotsTests.this.second.acquire(1, nanos(116_000))).isTrue();
		}

		@Test
		void renewedSlotDoesNotExpire() {
			ActivationSlotsTests.this.first.acquire(1, 0);
			assertThat(ActivationSlotsTests.this.second.acquire(1, nanos(0))).isFalse();
			ActivationSlotsTests.this.first.acquire(1, nanos(9_000));
			assertThat(ActivationSlotsTests.this.second.acquire(1, nanos(16_000))).isFalse();
		}

		private static long nanos(long millis) {
			return TimeUnit.MILLISECONDS.toNanos(millis);
		}

	}

	@Nested
	class LostResponse {

		@Test
		void ownSlotIsRecognised() {
			ActivationSlotsTests.this.store.loseNextResponse();
			boolean failed = false;
			try {
				ActivationSlotsTests.this.first.acquire(1, 0);
			}
			catch (PlatformException ex) {
				failed = true;
			}
			assertThat(failed).isTrue();
			assertThat(ActivationSlotsTests.this.second.acquire(1, 0)).isFalse();
			assertThat(ActivationSlotsTests.this.first.acquire(1, 0)).isTrue();
		}

	}

}
