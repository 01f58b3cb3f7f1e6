package org.jaywood.replica;

import org.jaywood.routing.ModelVersion;

/**
 * A target version and how much of it an agent has received.
 *
 * @param version the version
 * @param announcedMillis time at which it became known
 * @param supersededMillis time at which the next version became known,
 * {@link Long#MAX_VALUE} for the newest one
 * @param chunks number of its chunks, 0 while its manifest is not known
 * @param missing number of chunks that have not been received
 * @param changedMillis time of the last change of {@code missing}
 */
record VersionProgress(ModelVersion version, long announcedMillis, long supersededMillis, int chunks, int missing,
		long changedMillis) {

	static VersionProgress announced(ModelVersion version, long nowMillis) {
		return new VersionProgress(version, nowMillis, Long.MAX_VALUE, 0, 0, nowMillis);
	}

	VersionProgress superseded(long nowMillis) {
		return new VersionProgress(this.version, this.announcedMillis, Math.min(this.supersededMillis, nowMillis),
				this.chunks, this.missing, this.changedMillis);
	}

	VersionProgress withMissing(int latestChunks, int latestMissing, long nowMillis) {
		boolean same = latestChunks == this.chunks && latestMissing == this.missing;
		return same ? this : new VersionProgress(this.version, this.announcedMillis, this.supersededMillis,
				latestChunks, latestMissing, nowMillis);
	}

	boolean isWhole() {
		return this.chunks > 0 && this.missing == 0;
	}

	/**
	 * Whether at least one chunk has been received.
	 */
	boolean isBegun() {
		return this.missing < this.chunks;
	}

	boolean isSuperseded() {
		return this.supersededMillis != Long.MAX_VALUE;
	}

}
