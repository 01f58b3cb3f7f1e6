package org.jaywood.router;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.peer.Membership;
import org.jaywood.peer.ProcessIdentity;
import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;

/**
 * Selects the upstream of a call: from the own data centre, then the own region, then
 * other regions within a limit of bytes per second. Calls with the same prompt prefix use
 * the same upstream unless its load is well above the mean.
 */
final class UpstreamSelector {

	/** Ratio to the mean load above which the preferred upstream is not used. */
	private static final double MAX_LOAD_OVER_MEAN = 1.25;

	private final ProcessIdentity identity;

	private final Membership membership;

	private final UpstreamTable upstreams;

	private final ByteRateLimiter regionRateLimiter;

	private final int subsetSize;

	private final RandomGenerator random;

	UpstreamSelector(ProcessIdentity identity, Membership membership, UpstreamTable upstreams,
			ByteRateLimiter regionRateLimiter, int subsetSize, RandomGenerator random) {
		this.identity = identity;
		this.membership = membership;
		this.upstreams = upstreams;
		this.regionRateLimiter = regionRateLimiter;
		this.subsetSize = subsetSize;
		this.random = random;
	}

	/**
	 * Chooses an agent.
	 * @param call the call
	 * @param configuration configuration in force
	 * @param excluded agents that must not get this call
	 * @param nowMillis present time
	 * @return the agent, or empty if the call may be sent to none
	 */
	Optional<VmRecord> choose(Call call, AppliedConfiguration configuration, Set<Address> excluded, long nowMillis) {
		List<VmRecord> admitting = candidates(call, configuration, excluded)
			.filter((agent) -> this.upstreams.mayAdmit(agent.address(), configuration.generation(), nowMillis))
			.toList();
		List<List<VmRecord>> tiers = IntStream.range(0, 3)
			.mapToObj((tier) -> subset(admitting.stream().filter((agent) -> tierOf(agent) == tier).toList()))
			.filter((tier) -> !tier.isEmpty())
			.filter((tier) -> !crossesRegions(tier.getFirst()) || this.regionRateLimiter.isAvailable(nowMillis))
			.toList();
		return tiers.stream()
			.filter((tier) -> tier.stream().anyMatch((agent) -> utilization(agent, nowMillis) < 1))
			.findFirst()
			.or(() -> tiers.stream().findFirst())
			.map((tier) -> pick(tier, call.affinity(), nowMillis));
	}

	/**
	 * Whether a call for which there is no agent now may get one by waiting.
	 * @param call the call
	 * @param configuration configuration in force
	 * @param excluded agents that must not get this call
	 * @param nowMillis present time
	 */
	boolean mayRegainCapacity(Call call, AppliedConfiguration configuration, Set<Address> excluded, long nowMillis) {
		return candidates(call, configuration, excluded).anyMatch(
				(agent) -> this.upstreams.mayRegainCapacity(agent.address(), configuration.generation(), nowMillis));
	}

	private Stream<VmRecord> candidates(Call call, AppliedConfiguration configuration, Set<Address> excluded) {
		return this.membership.agentsOf(call.service())
			.filter((agent) -> configuration.deployment().acceptsNewWork(call.service(), agent.dataCentre()))
			.filter((agent) -> !excluded.contains(agent.address()));
	}

	boolean crossesRegions(VmRecord agent) {
		return !agent.region().equals(this.identity.region());
	}

	private int tierOf(VmRecord agent) {
		if (agent.dataCentre().equals(this.identity.dataCentre())) {
			return 0;
		}
		return crossesRegions(agent) ? 2 : 1;
	}

	private List<VmRecord> subset(List<VmRecord> tier) {
		return (tier.size() <= this.subsetSize) ? tier
				: byHashRank(tier, this.identity.vm()).stream().limit(this.subsetSize).toList();
	}

	private VmRecord pick(List<VmRecord> tier, String affinity, long nowMillis) {
		double meanUtilization = tier.stream()
			.mapToDouble((agent) -> utilization(agent, nowMillis))
			.average()
			.orElse(0);
		VmRecord preferred = byHashRank(tier, affinity).getFirst();
		// One call on an otherwise idle tier must not count as overload.
		if (utilization(preferred, nowMillis) <= Math.min(0.9, MAX_LOAD_OVER_MEAN * meanUtilization + 0.1)) {
			return preferred;
		}
		VmRecord first = tier.get(this.random.nextInt(tier.size()));
		VmRecord second = tier.get(this.random.nextInt(tier.size()));
		return (utilization(first, nowMillis) <= utilization(second, nowMillis)) ? first : second;
	}

	private double utilization(VmRecord agent, long nowMillis) {
		return this.upstreams.utilization(agent.address(), nowMillis);
	}

	private static List<VmRecord> byHashRank(List<VmRecord> tier, String key) {
		return tier.stream().sorted(Comparator.comparingLong((agent) -> hashRank(key, agent))).toList();
	}

	private static long hashRank(String key, VmRecord agent) {
		return Hashing.komihash5_0().hashCharsToLong(key + "\n" + agent.address());
	}

}
