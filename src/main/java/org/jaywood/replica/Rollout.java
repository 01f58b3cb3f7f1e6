package org.jaywood.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.Upstream;

/**
 * Decides which version an agent downloads when target versions succeed each other, and
 * when its engine loads. Designed for a target version that is set while the version
 * before is still spreading: a download that has run for a while is finished and loaded,
 * since the engines would otherwise have no version that may run calls until the newest
 * one has arrived. Thread-safe.
 */
final class Rollout {

	/**
	 * Age of a target version up to which a newer one replaces it at once: about half the
	 * time of a download.
	 */
	private static final long MAX_REPLACEABLE_AGE_MILLIS = 2_500;

	/**
	 * Time from the receipt of a target version until the second half of the engines
	 * loads.
	 */
	private static final long SECOND_HALF_DELAY_MILLIS = 6_100;

	private @Nullable ModelVersion current;

	private long currentReceivedMillis;

	private @Nullable ModelVersion next;

	private long nextReceivedMillis;

	/**
	 * Adopts the newest target version.
	 */
	synchronized void onTargetVersion(ModelVersion targetVersion, long nowMillis) {
		ModelVersion present = this.current;
		if (present == null || !present.model().equals(targetVersion.model())) {
			this.current = targetVersion;
			this.currentReceivedMillis = nowMillis;
			this.next = null;
			return;
		}
		if (targetVersion.version() <= newestVersion(present).version()) {
			return;
		}
		this.next = targetVersion;
		this.nextReceivedMillis = nowMillis;
		if (nowMillis - this.currentReceivedMillis <= MAX_REPLACEABLE_AGE_MILLIS) {
			advance();
		}
	}

	/**
	 * Records that the engine serves a version.
	 */
	synchronized void onServed(ModelVersion version) {
		if (version.equals(this.current)) {
			advance();
		}
	}

	/**
	 * Returns the version to download and load.
	 */
	synchronized ModelVersion target() {
		if (this.current == null) {
			throw new IllegalStateException("no target version has been received");
		}
		return this.current;
	}

	/**
	 * Returns the versions to download, the one to load first.
	 */
	synchronized List<ModelVersion> versionsToDownload() {
		return Stream.of(this.current, this.next).filter(Objects::nonNull).toList();
	}

	/**
	 * Whether an engine that runs calls may load a version now. Every second engine by id
	 * loads at once, the others later, so that capacity never drops everywhere at the
	 * same time.
	 */
	synchronized boolean mayLoad(ModelVersion target, Upstream ownEngine, List<Upstream> engines, long nowMillis) {
		List<String> ids = engines.stream().sorted(Comparator.comparing(Upstream::id)).map(Upstream::id).toList();
		boolean firstHalf = ids.indexOf(ownEngine.id()) % 2 == 0;
		boolean superseded = this.next != null;
		return firstHalf || superseded || !target.equals(this.current)
				|| nowMillis - this.currentReceivedMillis >= SECOND_HALF_DELAY_MILLIS;
	}

	private ModelVersion newestVersion(ModelVersion present) {
		return (this.next != null) ? this.next : present;
	}

	private void advance() {
		if (this.next != null) {
			this.current = this.next;
			this.currentReceivedMillis = this.nextReceivedMillis;
			this.next = null;
		}
	}

}
