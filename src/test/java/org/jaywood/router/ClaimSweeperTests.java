package org.jaywood.router;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.UUID;

import com.github.f4b6a3.uuid.UuidCreator;
import org.junit.jupiter.api.Test;

import org.jaywood.store.Futures;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against deletion of claims whose keys are still accepted, against claims that
 * are never deleted and against a burst of deletions at the store.
 */
class ClaimSweeperTests {

	private static final long START = Instant.parse("2026-01-01T00:00:00Z").toEpochMilli();

	private static final long RETENTION_MILLIS = ClaimRegistry.RETENTION.plus(ClaimSweeper.CLOCK_SKEW_MARGIN)
		.toMillis();

	private final FaultyObjectStore store = new FaultyObjectStore(new Random(1), 0);

	private final ClaimSweeper sweeper = new ClaimSweeper(this.store, 10);

	private void createClaim(long wallMillis) {
		UUID key = UuidCreator.getTimeOrderedEpoch(Instant.ofEpochMilli(wallMillis));
		ClaimName name = ClaimName.of(RelayFixture.booking(1_000), key);
		Futures.await(this.store.create(name.kind(), name.name(), new byte[0]));
	}

	private int claimCount() {
		// One object is the cursor.
		return this.store.size() - 1;
	}

	@Test
	void claimIsDeletedOnlyWhenNoRouterAcceptsItsKey() {
		this.sweeper.sweep(START);
		createClaim(START);
		assertThat(this.sweeper.sweep(START + RETENTION_MILLIS)).isEqualTo(0);
		assertThat(claimCount()).isEqualTo(1);
		long wallMillis = START + RETENTION_MILLIS + 2 * ClaimName.PERIOD_MILLIS;
		for (int i = 0; i < 200; i++) {
			this.sweeper.sweep(wallMillis);
		}
		assertThat(claimCount()).isEqualTo(0);
	}

	@Test
	void passStopsAtItsMaximumOfDeletions() {
		this.sweeper.sweep(START + RETENTION_MILLIS);
		for (int i = 0; i < 25; i++) {
			createClaim(START + 1_000);
		}
		long wallMillis = START + RETENTION_MILLIS + Duration.ofMinutes(1).toMillis();
		assertThat(this.sweeper.sweep(wallMillis)).isEqualTo(10);
		assertThat(this.sweeper.sweep(wallMillis)).isEqualTo(10);
		assertThat(this.sweeper.sweep(wallMillis)).isEqualTo(5);
		assertThat(claimCount()).isEqualTo(0);
	}

	/**
	 * Guards against a growing backlog of expired claims, since one router sweeps for
	 * all.
	 */
	@Test
	void nextPassFollowsSoonerAfterMaximumOfDeletions() {
		assertThat(this.sweeper.nextPassDelayMillis(0)).isEqualTo(10_000);
		assertThat(this.sweeper.nextPassDelayMillis(9)).isEqualTo(10_000);
		assertThat(this.sweeper.nextPassDelayMillis(10)).isEqualTo(1_000);
	}

	/**
	 * Guards against claims that are never deleted because no router ran when they
	 * expired.
	 */
	@Test
	void claimsMissedDuringDowntimeAreDeleted() {
		this.sweeper.sweep(START + RETENTION_MILLIS);
		createClaim(START + 1_000);
		createClaim(START + Duration.ofMinutes(30).toMillis());
		long wallMillis = START + RETENTION_MILLIS + Duration.ofHours(2).toMillis();
		for (int i = 0; i < 20; i++) {
			this.sweeper.sweep(wallMillis);
		}
		assertThat(claimCount()).isEqualTo(0);
	}

}
