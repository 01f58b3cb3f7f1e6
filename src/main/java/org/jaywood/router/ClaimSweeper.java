package org.jaywood.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;

/**
 * Deletes claims whose keys are past their retention. Such keys are rejected before any
 * claim is read, so a deletion never lets a call run again. Routers share one cursor;
 * {@link SweeperElection} selects which of them sweeps. Two may sweep at once, since a
 * deletion that another router made first is ignored.
 */
final class ClaimSweeper {

	static final String CURSOR_KIND = "claim-sweep";

	static final String CURSOR_NAME = "cursor";

	/**
	 * Added to the retention, since the clocks of two routers may differ: after it, every
	 * router rejects the key.
	 */
	static final Duration CLOCK_SKEW_MARGIN = Duration.ofHours(1);

	private static final int MAX_PERIODS_PER_PASS = 60;

	private static final long PASS_DELAY_MILLIS = 10_000;

	/** One router sweeps for all, so it must keep up with the claims of all routers. */
	private static final long BACKLOG_PASS_DELAY_MILLIS = 1_000;

	private final ObjectStore store;

	private final int maxDeletionsPerPass;

	/**
	 * Creates a sweeper.
	 * @param store store of the claims
	 * @param maxDeletionsPerPass largest number of deletions in one pass, which bounds
	 * its writes
	 */
	ClaimSweeper(ObjectStore store, int maxDeletionsPerPass) {
		this.store = store;
		this.maxDeletionsPerPass = maxDeletionsPerPass;
	}

	/**
	 * Deletes some expired claims.
	 * @param wallMillis present time, milliseconds since the epoch
	 * @return number of deleted claims
	 * @throws PlatformException if the store does not respond
	 */
	int sweep(long wallMillis) {
		long retainedMillis = ClaimRegistry.RETENTION.plus(CLOCK_SKEW_MARGIN).toMillis();
		long lastPeriod = (wallMillis - retainedMillis) / ClaimName.PERIOD_MILLIS - 1;
		StoredObject cursor = readOrCreateCursor(lastPeriod);
		long lastSweptPeriod = sweptPeriod(cursor);
		int deleted = 0;
		long period = lastSweptPeriod + 1;
		for (; period <= Math.min(lastPeriod, lastSweptPeriod + MAX_PERIODS_PER_PASS); period++) {
			List<StoredObject> expired = listClaims(period);
			List<StoredObject> toDelete = expired.subList(0,
					Math.min(expired.size(), this.maxDeletionsPerPass - deleted));
			for (StoredObject claim : toDelete) {
				delete(period, claim);
			}
			deleted += toDelete.size();
			if (toDelete.size() < expired.size()) {
				break;
			}
		}
		if (period - 1 > lastSweptPeriod) {
			advanceCursor(cursor, period - 1);
		}
		return deleted;
	}

	/**
	 * Returns the time until the next pass, which is shorter after a pass that stopped at
	 * its maximum of deletions.
	 * @param deleted number of claims that the last pass deleted
	 */
	long nextPassDelayMillis(int deleted) {
		return (deleted < this.maxDeletionsPerPass) ? PASS_DELAY_MILLIS : BACKLOG_PASS_DELAY_MILLIS;
	}

	private StoredObject readOrCreateCursor(long lastPeriod) {
		try {
			return Futures.await(this.store.get(CURSOR_KIND, CURSOR_NAME));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.NOT_FOUND) {
				throw ex;
			}
			// No claim is older than the first sweep of an installation.
			byte[] value = cursorValue(lastPeriod);
			return new StoredObject(CURSOR_NAME, Futures.await(this.store.create(CURSOR_KIND, CURSOR_NAME, value)),
					value, false);
		}
	}

	private List<StoredObject> listClaims(long period) {
		return Futures.await(this.store.watch(ClaimName.kind(period), 0, 0))
			.objects()
			.stream()
			.filter((claim) -> !claim.deleted())
			.toList();
	}

	private void delete(long period, StoredObject claim) {
		try {
			Futures.await(this.store.delete(ClaimName.kind(period), claim.name(), claim.version()));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.CONFLICT && ex.kind() != Kind.NOT_FOUND) {
				throw ex;
			}
		}
	}

	private void advanceCursor(StoredObject cursor, long period) {
		try {
			Futures.await(this.store.update(CURSOR_KIND, CURSOR_NAME, cursorValue(period), cursor.version()));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.CONFLICT) {
				throw ex;
			}
		}
	}

	private static long sweptPeriod(StoredObject cursor) {
		return Long.parseLong(new String(cursor.value(), StandardCharsets.UTF_8).trim());
	}

	private static byte[] cursorValue(long period) {
		return Long.toString(period).getBytes(StandardCharsets.UTF_8);
	}

}
