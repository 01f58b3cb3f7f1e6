package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.jaywood.store.PlatformException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against two agents that hold a valid lease of one engine at the same time.
 */
class EngineLeaseTests {

	private static final long LEASE_MILLIS = 10_000;

	private static final long ORDER_TIMEOUT_MILLIS = 30_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private final EngineLease earlier = lease("old");

	private final EngineLease later = lease("next");

	@Test
	void laterHolderHasHigherTokenAndSupersedesEarlier() {
		this.earlier.renew(System.nanoTime());
		this.later.renew(System.nanoTime());
		assertThat(this.later.fencingToken()).isGreaterThan(this.earlier.fencingToken());
		this.earlier.renew(System.nanoTime());
		assertThat(this.earlier.superseded()).isTrue();
		assertThat(this.earlier.valid(System.nanoTime())).isFalse();
		assertThat(this.later.valid(System.nanoTime())).isTrue();
	}

	@Test
	void expiresWithoutPlatform() {
		long nowNanos = System.nanoTime();
		this.earlier.renew(nowNanos);
		assertThat(this.earlier.valid(nowNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS - 1))).isTrue();
		assertThat(this.earlier.valid(nowNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS))).isFalse();
	}

	@Test
	void laterHolderAwaitsEarlierLeaseAndOrders() {
		this.earlier.renew(System.nanoTime());
		assertThat(this.earlier.earlierOrdersExpireInMillis(System.nanoTime())).isEqualTo(0);
		long beforeNanos = System.nanoTime();
		this.later.renew(beforeNanos);
		long lastOrderNanos = beforeNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS + ORDER_TIMEOUT_MILLIS - 1);
		assertThat(this.later.earlierOrdersExpireInMillis(lastOrderNanos)).isGreaterThan(0);
	}

	@Test
	void discardedTokenIsNotReused() {
		this.earlier.renew(System.nanoTime());
		long discardedToken = this.earlier.fencingToken();
		this.earlier.discardFencingToken();
		assertThat(this.earlier.valid(System.nanoTime())).isFalse();
		this.earlier.renew(System.nanoTime());
		assertThat(this.earlier.fencingToken()).isGreaterThan(discardedToken);
	}

	@Test
	void supersededHolderCannotReacquireAfterDiscard() {
		this.earlier.renew(System.nanoTime());
		this.later.renew(System.nanoTime());
		this.earlier.discardFencingToken();
		this.earlier.renew(System.nanoTime());
		assertThat(this.earlier.superseded()).isTrue();
	}

	@Test
	void lostResponseLeavesLeaseInvalidUntilNextRenewal() {
		this.store.loseNextResponse();
		try {
			this.earlier.renew(System.nanoTime());
		}
		catch (PlatformException ex) {
			assertThat(ex.kind()).isEqualTo(PlatformException.Kind.NO_ANSWER);
		}
		assertThat(this.earlier.valid(System.nanoTime())).isFalse();
		this.earlier.renew(System.nanoTime());
		assertThat(this.earlier.valid(System.nanoTime())).isTrue();
	}

	private EngineLease lease(String holder) {
		return new EngineLease(this.store, "vm", holder, LEASE_MILLIS, ORDER_TIMEOUT_MILLIS);
	}

}
