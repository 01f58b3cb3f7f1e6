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
 * Deletes claims whose keys are past their retention. Such keys are refused before any
 * claim is read, so a deletion never lets a call run again. Routers share one cursor and
 * take turns. Two may sweep at once; a deletion that another one made first does no harm.
 */
final class ClaimSweeper {

	static final String CURSOR_KIND = "claim-sweep";

	static final String CURSOR_NAME = "cursor";

	/**
	 * Clocks of two routers may differ; a key is refused by all of them this much later.
	 */
	static final Duration MARGIN = Duration.ofHours(1);

	private static final int PERIODS_PER_PASS = 60;

	private static final long PAUSE_MILLIS = 10_000;

	/** One router sweeps for all, so it must keep up with the claims of all. */
	private static final long BACKLOG_PAUSE_MILLIS = 1_000;

	private final ObjectStore objects;

	private final int deletionsPerPass;

	/**
	 * Creates a sweeper.
	 * @param objects object API
	 * @param deletionsPerPass most deletions of one pass, which bounds its writes
	 */
	ClaimSweeper(ObjectStore objects, int deletionsPerPass) {
		this.objects = objects;
		this.deletionsPerPass = deletionsPerPass;
	}

	/**
	 * Deletes some expired claims.
	 * @param wallMillis present time, milliseconds since the epoch
	 * @return claims deleted
	 * @throws PlatformException if the platform does not answer
	 */
	int sweep(long wallMillis) {
		long retainedMillis = ClaimRegistry.RETENTION.plus(MARGIN).toMillis();
		long lastPeriod = (wallMillis - retainedMillis) / ClaimName.PERIOD_MILLIS - 1;
		StoredObject cursor = cursor(lastPeriod);
		long done = period(cursor);
		int deleted = 0;
		long next = done + 1;
		for (; next <= Math.min(lastPeriod, done + PERIODS_PER_PASS); next++) {
			List<StoredObject> expired = expired(next);
			List<StoredObject> chosen = expired.subList(0, Math.min(expired.size(), this.deletionsPerPass - deleted));
			for (StoredObject claim : chosen) {
				delete(next, claim);
			}
			deleted += chosen.size();
			if (chosen.size() < expired.size()) {
				break;
			}
		}
		if (next - 1 > done) {
			advance(cursor, next - 1);
		}
		return deleted;
	}

	/**
	 * Time until the next pass. It is short after a pass that stopped at its bound.
	 * @param deleted claims that the last pass deleted
	 */
	long pauseMillis(int deleted) {
		return (deleted < this.deletionsPerPass) ? PAUSE_MILLIS : BACKLOG_PAUSE_MILLIS;
	}

	private StoredObject cursor(long lastPeriod) {
		try {
			return Futures.await(this.objects.get(CURSOR_KIND, CURSOR_NAME));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.NOT_FOUND) {
				throw ex;
			}
			// No claim is older than the first sweep of an installation.
			byte[] value = value(lastPeriod);
			return new StoredObject(CURSOR_NAME, Futures.await(this.objects.create(CURSOR_KIND, CURSOR_NAME, value)),
					value, false);
		}
	}

	private List<StoredObject> expired(long period) {
		return Futures.await(this.objects.watch(ClaimName.kind(period), 0, 0))
			.objects()
			.stream()
			.filter((claim) -> !claim.deleted())
			.toList();
	}

	private void delete(long period, StoredObject claim) {
		try {
			Futures.await(this.objects.delete(ClaimName.kind(period), claim.name(), claim.version()));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.CONFLICT && ex.kind() != Kind.NOT_FOUND) {
				throw ex;
			}
		}
	}

	private void advance(StoredObject cursor, long period) {
		try {
			Futures.await(this.objects.update(CURSOR_KIND, CURSOR_NAME, value(period), cursor.version()));
		}
		catch (PlatformException ex) {
			if (ex.kind() != Kind.CONFLICT) {
				throw ex;
			}
		}
	}

	private static long period(StoredObject cursor) {
		return Long.parseLong(new String(cursor.value(), StandardCharsets.UTF_8).trim());
	}

	private static byte[] value(long period) {
		return Long.toString(period).getBytes(StandardCharsets.UTF_8);
	}

}
