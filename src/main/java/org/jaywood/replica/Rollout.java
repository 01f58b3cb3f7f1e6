package org.jaywood.replica;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.jaywood.routing.ModelVersion;
import org.jaywood.routing.Upstream;

/**
 * Decides which version an agent works on while versions follow each other, and when its
 * engine loads. It answers the load of a version that is named while the one before is
 * still spreading: a transfer that has gone on for a while is finished and loaded, since
 * the engines would otherwise have no version that may run calls until the newest one has
 * arrived. Safe for use by several threads.
 */
final class Rollout {

	/**
	 * Age of a naming up to which a newer version takes its place at once: about half of
	 * the time of a transfer.
	 */
	private static final long MAX_REPLACEABLE_AGE_MILLIS = 2_500;

	/** Time after a naming at which the second half of the engines loads. */
	private static final long SECOND_HALF_DELAY_MILLIS = 6_100;

	private @Nullable ModelVersion current;

	private long currentReceivedMillis;

	private @Nullable ModelVersion next;

	private long nextReceivedMillis;

	/**
	 * Takes the newest named version.
	 */
	synchronized void onTargetVersion(ModelVersion named, long nowMillis) {
		ModelVersion present = this.current;
		if (present == null || !present.model().equals(named.model())) {
			this.current = named;
			this.currentReceivedMillis = nowMillis;
			this.next = null;
			return;
		}
		if (named.version() <= newestVersion(present).version()) {
			return;
		}
		this.next = named;
		this.nextReceivedMillis = nowMillis;
		if (nowMillis - this.currentReceivedMillis <= MAX_REPLACEABLE_AGE_MILLIS) {
			advance();
		}
	}

	/**
	 * Notes that the engine serves a version.
	 */
	synchronized void onServed(ModelVersion weights) {
		if (weights.equals(this.current)) {
			advance();
		}
	}

	/**
	 * The version to work on.
	 */
	synchronized ModelVersion target() {
		if (this.current == null) {
			throw new IllegalStateException("no version is named");
		}
		return this.current;
	}

	/**
	 * The versions to fetch, the one to load first.
	 */
	synchronized List<ModelVersion> versionsToDownload() {
		return Stream.of(this.current, this.next).filter(Objects::nonNull).toList();
	}

	/**
	 * Whether an engine that runs calls may load a version now. The first half loads at
	 * once, the second one a little later, so that capacity never drops all at once.
	 */
	synchronized boolean mayLoad(ModelVersion target, Upstream own, List<Upstream> engines, long nowMillis) {
		List<String> ids = engines.stream().sorted(Comparator.comparing(Upstream::id)).map(Upstream::id).toList();
		boolean firstHalf = ids.indexOf(own.id()) % 2 == 0;
		boolean overtaken = this.next != null;
		return firstHalf || overtaken || !target.equals(this.current)
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
