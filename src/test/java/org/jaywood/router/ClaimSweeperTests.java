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
 * Guards claims in force against deletion, and the object API against claims that stay
 * forever or are deleted in one burst.
 */
class ClaimSweeperTests {

	private static final long START = Instant.parse("2026-01-01T00:00:00Z").toEpochMilli();

	private static final long KEPT_MILLIS = ClaimRegistry.RETENTION.plus(ClaimSweeper.MARGIN).toMillis();

	private final FaultyObjectStore store = new FaultyObjectStore(new Random(1), 0);

	private final ClaimSweeper sweeper = new ClaimSweeper(this.store, 10);

	private void claim(long wallMillis) {
		UUID key = UuidCreator.getTimeOrderedEpoch(Instant.ofEpochMilli(wallMillis));
		ClaimName name = ClaimName.of(RelayFixture.booking(1_000), key);
		Futures.await(this.store.create(name.kind(), name.name(), new byte[0]));
	}

	private int claims() {
		// One object is the cursor.
		return this.store.size() - 1;
	}

	@Test
	void keepsClaimsUntilNoRouterAcceptsTheirKey() {
		this.sweeper.sweep(START);
		claim(START);
		assertThat(this.sweeper.sweep(START + KEPT_MILLIS)).isEqualTo(0);
		assertThat(claims()).isEqualTo(1);
		long wallMillis = START + KEPT_MILLIS + 2 * ClaimName.PERIOD_MILLIS;
		for (int i = 0; i < 200; i++) {
			this.sweeper.sweep(wallMillis);
		}
		assertThat(claims()).isEqualTo(0);
	}

	@Test
	void boundsTheDeletionsOfAPass() {
		this.sweeper.sweep(START + KEPT_MILLIS);
		for (int i = 0; i < 25; i++) {
			claim(START + 1_000);
		}
		long wallMillis = START + KEPT_MILLIS + Duration.ofMinutes(1).toMillis();
		assertThat(this.sweeper.sweep(wallMillis)).isEqualTo(10);
		assertThat(this.sweeper.sweep(wallMillis)).isEqualTo(10);
		assertThat(this.sweeper.sweep(wallMillis)).isEqualTo(5);
		assertThat(claims()).isEqualTo(0);
	}

	/**
	 * Guards against a backlog that grows because one router sweeps for all.
	 */
	@Test
	void goesOnSoonAfterAPassThatStoppedAtItsBound() {
		assertThat(this.sweeper.pauseMillis(0)).isEqualTo(10_000);
		assertThat(this.sweeper.pauseMillis(9)).isEqualTo(10_000);
		assertThat(this.sweeper.pauseMillis(10)).isEqualTo(1_000);
	}

	/**
	 * Guards the claims of a time in which no router ran.
	 */
	@Test
	void sweepsWhatWasMissed() {
		this.sweeper.sweep(START + KEPT_MILLIS);
		claim(START + 1_000);
		claim(START + Duration.ofMinutes(30).toMillis());
		long wallMillis = START + KEPT_MILLIS + Duration.ofHours(2).toMillis();
		for (int i = 0; i < 20; i++) {
			this.sweeper.sweep(wallMillis);
		}
		assertThat(claims()).isEqualTo(0);
	}

}
