package org.jaywood.leader;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.jspecify.annotations.Nullable;

import org.jaywood.leader.LeaderElection.Step;

/**
 * Lease object in memory with the faults of the platform's store: responses that are
 * lost, writes that are executed seconds later, reads of an old version, and restores
 * from a copy, after which revisions are given out again.
 */
final class FaultyLeaseStore {

	private static final long MAX_COPY_AGE_MILLIS = 6_000;

	private static final long MAX_STALE_MILLIS = 1_500;

	private static final long MAX_LATE_MILLIS = 6_000;

	private final Random random;

	private final List<Version> history = new ArrayList<>();

	private final List<LateWrite> lateWrites = new ArrayList<>();

	private long era;

	private long revision = 10;

	private @Nullable Lease lease;

	FaultyLeaseStore(Random random) {
		this.random = random;
	}

	/**
	 * Executes the writes that are late until now.
	 */
	void tick(long nowMillis) {
		List<LateWrite> due = this.lateWrites.stream().filter((write) -> write.millis() <= nowMillis).toList();
		this.lateWrites.removeAll(due);
		due.forEach((write) -> apply(write.step(), nowMillis));
	}

	/**
	 * Executes a request.
	 * @param faultShare share of the requests that meet a fault
	 */
	LeaseResponse execute(Step step, double faultShare, long nowMillis) throws IOException {
		if (this.random.nextDouble() >= faultShare) {
			return apply(step, nowMillis);
		}
		switch (this.random.nextInt(4)) {
			case 0 -> throw new IOException("status 503");
			case 1 -> {
				apply(step, nowMillis);
				throw new IOException("response lost");
			}
			case 2 -> {
				this.lateWrites.add(new LateWrite(nowMillis + this.random.nextLong(MAX_LATE_MILLIS), step));
				throw new IOException("response lost, executed later");
			}
			default -> {
				return (step instanceof Step.Read read && !read.fresh()) ? staleRead(nowMillis)
						: apply(step, nowMillis);
			}
		}
	}

	private LeaseResponse apply(Step step, long nowMillis) {
		return switch (step) {
			case Step.Read read -> found(this.era, this.revision, this.lease);
			case Step.Create create when this.lease != null -> new LeaseResponse.Conflict(this.era, null);
			case Step.Create create -> write(create.lease(), nowMillis);
			case Step.Replace replace when this.lease == null -> new LeaseResponse.Missing(this.era);
			case Step.Replace replace when replace.revision() != this.revision ->
				new LeaseResponse.Conflict(this.era, new LeaseResponse.Found(this.era, this.revision, this.lease));
			case Step.Replace replace -> write(replace.lease(), nowMillis);
			case Step.Pause pause -> throw new IllegalArgumentException("no request");
		};
	}

	private LeaseResponse write(Lease latest, long nowMillis) {
		this.history.add(new Version(nowMillis, this.era, this.revision, this.lease));
		this.lease = latest;
		this.revision++;
		return new LeaseResponse.Written(this.era, this.revision);
	}

	private LeaseResponse staleRead(long nowMillis) {
		List<Version> recent = versions(nowMillis - MAX_STALE_MILLIS);
		if (recent.isEmpty()) {
			return found(this.era, this.revision, this.lease);
		}
		Version version = recent.get(this.random.nextInt(recent.size()));
		return found(this.random.nextBoolean() ? this.era : version.era(), version.revision(), version.lease());
	}

	private static LeaseResponse found(long era, long revision, @Nullable Lease lease) {
		return (lease != null) ? new LeaseResponse.Found(era, revision, lease) : new LeaseResponse.Missing(era);
	}

	private List<Version> versions(long sinceMillis) {
		return this.history.stream().filter((version) -> version.millis() >= sinceMillis).toList();
	}

	/**
	 * Comes back from a copy.
	 */
	void restore(long nowMillis) {
		List<Version> copies = versions(nowMillis - MAX_COPY_AGE_MILLIS);
		this.era++;
		if (!copies.isEmpty()) {
			Version copy = copies.get(this.random.nextInt(copies.size()));
			this.lease = copy.lease();
			this.revision = copy.revision();
		}
	}

	/**
	 * State that a write replaced.
	 *
	 * @param millis when it was replaced
	 */
	private record Version(long millis, long era, long revision, @Nullable Lease lease) {
	}

	private record LateWrite(long millis, Step step) {
	}

}
