package org.jaywood.weights;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.jaywood.store.VmRecord;

/**
 * Computes the share of this VM in the rate limit of a region link. It equals the share
 * of the chunks that this VM sends over the link, so that all senders finish together and
 * the shares add up to the limit without coordination. With equal shares the VM with the
 * most chunks would take several times as long as the others.
 */
final class RegionShares {

	/** Shares are recomputed after this time, because the set of VMs changes. */
	private static final long SHARE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final StagingArea staging;

	private final Swarm swarm;

	private final Map<String, Share> shares = new ConcurrentHashMap<>();

	RegionShares(StagingArea staging, Swarm swarm) {
		this.staging = staging;
		this.swarm = swarm;
	}

	/**
	 * Returns the share, above 0 and at most 1.
	 * @param region region at the other end of the link
	 * @param nowNanos present time of the monotonic clock
	 */
	double fractionFor(String region, long nowNanos) {
		return this.shares.compute(region,
				(key, cached) -> (cached != null && nowNanos - cached.computedNanos() < SHARE_LIFETIME_NANOS) ? cached
						: new Share(computeFraction(key, nowNanos), nowNanos))
			.fraction();
	}

	private double computeFraction(String region, long nowNanos) {
		List<Optional<VmRecord>> senders = this.staging.manifests()
			.entrySet()
			.stream()
			.flatMap((entry) -> senders(entry.getKey(), entry.getValue(), region, nowNanos).stream())
			.filter(Optional::isPresent)
			.toList();
		long own = senders.stream().filter((sender) -> sender.filter(this.swarm.self()::equals).isPresent()).count();
		// A VM that gets requests although it sends no chunk by its own view takes an
		// equal share.
		return (own > 0) ? own / (double) senders.size() : 1.0 / this.swarm.membersInOwnRegion();
	}

	private List<Optional<VmRecord>> senders(String digest, Manifest manifest, String region, long nowNanos) {
		Swarm.View view = this.swarm.view(digest, nowNanos);
		return manifest.chunks().stream().map((chunk) -> view.sender(chunk, region)).toList();
	}

	private record Share(double fraction, long computedNanos) {
	}

}
