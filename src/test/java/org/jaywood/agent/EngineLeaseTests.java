package org.jaywood.agent;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.jaywood.store.PlatformException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against two agents that both believe they may give orders to one engine.
 */
class EngineLeaseTests {

	private static final long LEASE_MILLIS = 10_000;

	private static final long ORDER_MILLIS = 30_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private final EngineLease old = lease("old");

	private final EngineLease next = lease("next");

	@Test
	void laterHolderHasHigherNumberAndEndsTheEarlier() {
		this.old.renew(System.nanoTime());
		this.next.renew(System.nanoTime());
		assertThat(this.next.fencingToken()).isGreaterThan(this.old.fencingToken());
		this.old.renew(System.nanoTime());
		assertThat(this.old.superseded()).isTrue();
		assertThat(this.old.valid(System.nanoTime())).isFalse();
		assertThat(this.next.valid(System.nanoTime())).isTrue();
	}

	@Test
	void endsByItselfWithoutThePlatform() {
		long nowNanos = System.nanoTime();
		this.old.renew(nowNanos);
		assertThat(this.old.valid(nowNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS - 1))).isTrue();
		assertThat(this.old.valid(nowNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS))).isFalse();
	}

	@Test
	void laterHolderWaitsOutLeaseAndOrders() {
		this.old.renew(System.nanoTime());
		assertThat(this.old.earlierOrdersExpireInMillis(System.nanoTime())).isEqualTo(0);
		long beforeNanos = System.nanoTime();
		this.next.renew(beforeNanos);
		long untilNanos = beforeNanos + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS + ORDER_MILLIS - 1);
		assertThat(this.next.earlierOrdersExpireInMillis(untilNanos)).isGreaterThan(0);
	}

	@Test
	void abandonedNumberIsNotUsedAgain() {
		this.old.renew(System.nanoTime());
		long number = this.old.fencingToken();
		this.old.discardFencingToken();
		assertThat(this.old.valid(System.nanoTime())).isFalse();
		this.old.renew(System.nanoTime());
		assertThat(this.old.fencingToken()).isGreaterThan(number);
	}

	@Test
	void abandonedNumberDoesNotTakeTheEngineBack() {
		this.old.renew(System.nanoTime());
		this.next.renew(System.nanoTime());
		this.old.discardFencingToken();
		this.old.renew(System.nanoTime());
		assertThat(this.old.superseded()).isTrue();
	}

	@Test
	void lostReplyLeavesNoValidLeaseUntilReadAgain() {
		this.store.loseNextReply();
		try {
			this.old.renew(System.nanoTime());
		}
		catch (PlatformException ex) {
			assertThat(ex.kind()).isEqualTo(PlatformException.Kind.NO_ANSWER);
		}
		assertThat(this.old.valid(System.nanoTime())).isFalse();
		this.old.renew(System.nanoTime());
		assertThat(this.old.valid(System.nanoTime())).isTrue();
	}

	private EngineLease lease(String holder) {
		return new EngineLease(this.store, "vm", holder, LEASE_MILLIS, ORDER_MILLIS);
	}

}
