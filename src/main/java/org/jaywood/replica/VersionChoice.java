package org.jaywood.replica;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Decides which of several target versions an agent completes and loads first. Designed
 * for a version that is announced while the one before is still spreading. Calls may
 * begin on a version until the grace period of the next one ends, so a version that is
 * nearly whole is worth completing if enough of that time is left; then the engines do
 * not depend on the newest version arriving in time. One that is just begun only delays
 * the newest. A newer version that is whole is always preferred to an older one.
 */
final class VersionChoice {

	/**
	 * Time in which half of the engines load a version: half of the 3 s that a rollout
	 * leaves for loading. An engine runs no calls meanwhile, so a version must be usable
	 * for at least as long after it.
	 */
	static final long LOAD_MILLIS = 1_500;

	private final long graceMillis;

	/**
	 * Creates the decision.
	 * @param graceMillis time after the announcement of a version in which calls may
	 * begin on the one before
	 */
	VersionChoice(long graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Returns the version to fetch next, empty if the newest one is whole.
	 * @param announced target versions, oldest first
	 * @param chunksPerMilli rate at which chunks arrive
	 */
	Optional<VersionProgress> versionToFetch(List<VersionProgress> announced, double chunksPerMilli, long nowMillis) {
		List<VersionProgress> incomplete = announced.subList(newestWholeIndex(announced) + 1, announced.size());
		if (incomplete.isEmpty()) {
			return Optional.empty();
		}
		VersionProgress newest = incomplete.getLast();
		return incomplete.stream()
			.filter((version) -> version.equals(newest)
					|| isWorthCompleting(version, newest, chunksPerMilli, nowMillis))
			.findFirst();
	}

	/**
	 * Returns the version that the engine is to serve: the newest whole one while calls
	 * may begin on it for long enough, else the one to fetch.
	 * @param announced target versions, oldest first
	 * @param chunksPerMilli rate at which chunks arrive
	 */
	Optional<VersionProgress> versionToServe(List<VersionProgress> announced, double chunksPerMilli, long nowMillis) {
		int index = newestWholeIndex(announced);
		if (index >= 0 && (index == announced.size() - 1 || isUseful(announced.get(index), 0, nowMillis))) {
			return Optional.of(announced.get(index));
		}
		return versionToFetch(announced, chunksPerMilli, nowMillis);
	}

	private static int newestWholeIndex(List<VersionProgress> announced) {
		return IntStream.range(0, announced.size()).filter((index) -> announced.get(index).isWhole()).max().orElse(-1);
	}

	/**
	 * Whether an older version comes first: it gains at least as much time until a new
	 * version can be loaded as it delays the newest one, and remains useful.
	 */
	private boolean isWorthCompleting(VersionProgress older, VersionProgress newest, double chunksPerMilli,
			long nowMillis) {
		int newestMissing = (newest.chunks() > 0) ? newest.missing() : older.chunks();
		if (!older.isBegun() || chunksPerMilli <= 0 || 2 * older.missing() > newestMissing) {
			return false;
		}
		return isUseful(older, Math.round(older.missing() / chunksPerMilli), nowMillis);
	}

	private boolean isUseful(VersionProgress older, long fetchMillis, long nowMillis) {
		long leftMillis = this.graceMillis - (nowMillis - older.supersededMillis());
		return leftMillis - fetchMillis - LOAD_MILLIS >= LOAD_MILLIS;
	}

}
