package org.jaywood.gateway;

import java.util.function.BooleanSupplier;

import org.jaywood.feed.BootClock;
import org.jaywood.routing.ServiceSnapshot;
import org.jaywood.routing.SnapshotReply;

/**
 * Lets agents wait for changes of what they have to know. A gateway that has lost the
 * store says so within one interval, so that its agents turn to another one.
 */
final class SnapshotService {

	/** Interval at which a waiting agent is told that the store is lost. */
	private static final long CHECK_MILLIS = 500;

	private final StoreCache storeCache;

	private final BooleanSupplier storeReachable;

	SnapshotService(StoreCache knowledge, BooleanSupplier storeReachable) {
		this.storeCache = knowledge;
		this.storeReachable = storeReachable;
	}

	/**
	 * Waits for a digest that differs from one that an agent has.
	 * @param service service of the agent
	 * @param known {@link ServiceSnapshot#contentHash} of the one it has, or 0
	 * @param waitMillis longest wait
	 */
	SnapshotReply await(String service, long known, long waitMillis) throws InterruptedException {
		long untilMillis = BootClock.nowMillis() + waitMillis;
		while (true) {
			long leftMillis = untilMillis - BootClock.nowMillis();
			SnapshotPublisher.Published present = this.storeCache.awaitSnapshot(service, known,
					Math.clamp(leftMillis, 0, CHECK_MILLIS));
			boolean current = present != null && this.storeReachable.getAsBoolean();
			ServiceSnapshot news = (present != null && present.contentHash() != known) ? present.snapshot() : null;
			if (news != null || !current || BootClock.nowMillis() >= untilMillis) {
				return new SnapshotReply(current, news);
			}
		}
	}

}
