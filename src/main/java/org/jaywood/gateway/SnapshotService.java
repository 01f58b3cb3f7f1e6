package org.jaywood.gateway;

import java.util.function.BooleanSupplier;

import org.jaywood.feed.BootClock;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.SnapshotReply;

/**
 * Answers the long polls of agents for the snapshot of their service. A gateway that has
 * lost the store reports that within one interval, so that its agents use another one.
 */
final class SnapshotService {

	/** Interval at which a long poll checks whether the store is reachable. */
	private static final long CHECK_MILLIS = 500;

	private final StoreCache storeCache;

	private final BooleanSupplier storeReachable;

	SnapshotService(StoreCache storeCache, BooleanSupplier storeReachable) {
		this.storeCache = storeCache;
		this.storeReachable = storeReachable;
	}

	/**
	 * Waits for a snapshot that differs from the one that an agent has.
	 * @param service service of the agent
	 * @param knownHash {@link ServiceSnapshot#contentHash} of the agent's snapshot, or 0
	 * @param waitMillis longest wait
	 */
	SnapshotReply await(String service, long knownHash, long waitMillis) throws InterruptedException {
		long deadlineMillis = BootClock.nowMillis() + waitMillis;
		while (true) {
			long leftMillis = deadlineMillis - BootClock.nowMillis();
			SnapshotPublisher.Published present = this.storeCache.awaitSnapshot(service, knownHash,
					Math.clamp(leftMillis, 0, CHECK_MILLIS));
			boolean current = present != null && this.storeReachable.getAsBoolean();
			ServiceSnapshot changed = (present != null && present.contentHash() != knownHash) ? present.snapshot()
					: null;
			if (changed != null || !current || BootClock.nowMillis() >= deadlineMillis) {
				return new SnapshotReply(current, this.storeCache.era(), changed);
			}
		}
	}

}
