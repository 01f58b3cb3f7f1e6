package org.jaywood.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.Upstream;

/**
 * Keeps the target versions of an engine and what has arrived of them, and says which one
 * to fetch, which one the engine is to serve ({@link VersionChoice}) and when it loads.
 * Designed for target versions that succeed each other while the origin of weights may be
 * down or has dropped one. A version that was given up for a newer one is not resumed, so
 * that agents do not keep asking each other for it. States and events are listed in
 * {@code docs/design/rollout.md}. Thread-safe.
 */
final class Rollout {

	/**
	 * Time from the receipt of a target version until the second half of the engines
	 * loads.
	 */
	private static final long SECOND_HALF_DELAY_MILLIS = 6_100;

	private final VersionChoice choice;

	private final ArrivalRate arrivals = new ArrivalRate();

	/** Target versions that have not been given up, oldest first. */
	private List<VersionProgress> announced = List.of();

	/** Newest version that the origin has dropped. */
	private @Nullable ModelVersion gone;

	/** Newest version that the engine has served. */
	private @Nullable ModelVersion served;

	/** Receipt of the oldest target version that is newer than the served one. */
	private long pendingSinceMillis;

	/**
	 * Creates a rollout without a target version.
	 * @param graceMillis time after the announcement of a version in which calls may
	 * begin on the one before
	 */
	Rollout(long graceMillis) {
		this.choice = new VersionChoice(graceMillis);
	}

	/**
	 * Adopts the newest target version, unless it is older than a known one or the origin
	 * has dropped it.
	 */
	synchronized void onTargetVersion(ModelVersion targetVersion, long nowMillis) {
		boolean otherModel = !this.announced.isEmpty() && !isSameModel(this.announced.getFirst(), targetVersion);
		if (otherModel) {
			this.announced = List.of();
			this.served = null;
		}
		if (isNewer(targetVersion, this.gone)
				&& this.announced.stream().allMatch((known) -> isNewer(targetVersion, known.version()))) {
			if (this.announced.isEmpty() || this.announced.getLast().version().equals(this.served)) {
				this.pendingSinceMillis = nowMillis;
			}
			this.announced = Stream
				.concat(this.announced.stream().map((known) -> known.superseded(nowMillis)),
						Stream.of(VersionProgress.announced(targetVersion, nowMillis)))
				.toList();
		}
	}

	private static boolean isSameModel(VersionProgress known, ModelVersion version) {
		return known.version().model().equals(version.model());
	}

	private static boolean isNewer(ModelVersion version, @Nullable ModelVersion other) {
		return other == null || !other.model().equals(version.model()) || version.version() > other.version();
	}

	/**
	 * Records what has been received of a version.
	 * @param chunks number of its chunks
	 * @param missing number of chunks that have not been received
	 */
	synchronized void onProgress(ModelVersion version, int chunks, int missing, long nowMillis) {
		this.announced = replace(version, (known) -> {
			if (known.chunks() == chunks && missing < known.missing()) {
				this.arrivals.onArrival(known.missing() - missing, known.changedMillis(), nowMillis);
			}
			return known.withMissing(chunks, missing, nowMillis);
		});
	}

	private List<VersionProgress> replace(ModelVersion version, UnaryOperator<VersionProgress> change) {
		return this.announced.stream()
			.map((known) -> known.version().equals(version) ? change.apply(known) : known)
			.toList();
	}

	/**
	 * Records that the origin has dropped a version. It and older ones that are not whole
	 * are forgotten.
	 */
	synchronized void onGone(ModelVersion version) {
		if (isNewer(version, this.gone)) {
			this.gone = version;
		}
		this.announced = this.announced.stream()
			.filter((known) -> known.isWhole() || isNewer(known.version(), version))
			.toList();
	}

	/**
	 * Records that the engine serves a version.
	 */
	synchronized void onServed(ModelVersion version) {
		if (isNewer(version, this.served)) {
			this.served = version;
			this.announced.stream()
				.filter((known) -> isNewer(known.version(), version))
				.findFirst()
				.ifPresent((pending) -> this.pendingSinceMillis = pending.announcedMillis());
		}
	}

	/**
	 * Returns the version that the engine is to serve, empty if none is known.
	 */
	synchronized Optional<ModelVersion> target(long nowMillis) {
		return this.choice.versionToServe(this.announced, this.arrivals.chunksPerMilli(nowMillis), nowMillis)
			.map(VersionProgress::version);
	}

	/**
	 * Returns the version to fetch, empty if the newest one is whole. Versions older than
	 * it are given up, apart from the newest whole one.
	 */
	synchronized Optional<ModelVersion> versionToFetch(long nowMillis) {
		Optional<ModelVersion> version = this.choice
			.versionToFetch(this.announced, this.arrivals.chunksPerMilli(nowMillis), nowMillis)
			.map(VersionProgress::version);
		Optional<ModelVersion> newestWhole = this.announced.stream()
			.filter(VersionProgress::isWhole)
			.map(VersionProgress::version)
			.reduce((first, second) -> second);
		this.announced = this.announced.stream()
			.filter((known) -> newestWhole.equals(Optional.of(known.version()))
					|| version.isPresent() && !isNewer(version.get(), known.version()))
			.toList();
		return version;
	}

	/**
	 * Returns the target versions that have not been given up, oldest first.
	 */
	synchronized List<ModelVersion> versions() {
		return this.announced.stream().map(VersionProgress::version).toList();
	}

	/**
	 * Whether an engine that runs calls may load a version now. Every second engine by id
	 * loads at once, the others later, so that capacity never drops everywhere at the
	 * same time. The others load a superseded version once the first ones have had time
	 * to load it.
	 */
	synchronized boolean mayLoad(ModelVersion target, Upstream ownEngine, List<Upstream> engines, long nowMillis) {
		List<String> ids = engines.stream().sorted(Comparator.comparing(Upstream::id)).map(Upstream::id).toList();
		boolean firstHalf = ids.indexOf(ownEngine.id()) % 2 == 0;
		boolean superseded = this.announced.stream()
			.filter((known) -> known.version().equals(target))
			.anyMatch(
					(known) -> known.isSuperseded() && nowMillis - known.changedMillis() >= VersionChoice.LOAD_MILLIS);
		return firstHalf || superseded || nowMillis - this.pendingSinceMillis >= SECOND_HALF_DELAY_MILLIS;
	}

}
