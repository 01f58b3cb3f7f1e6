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
 * Chooses the upstream of a call: own data centre, then region, then other regions within
 * a byte budget. Calls with the same prompt prefix prefer the same upstream as long as it
 * is not loaded well above the others.
 */
final class UpstreamSelector {

	/** Load above the mean at which a preferred upstream is passed over. */
	private static final double BOUND = 1.25;

	private final ProcessIdentity identity;

	private final Membership membership;

	private final UpstreamTable table;

	private final ByteRateLimiter regionBudget;

	private final int subsetSize;

	private final RandomGenerator random;

	UpstreamSelector(ProcessIdentity identity, Membership membership, UpstreamTable table, ByteRateLimiter regionBudget,
			int subsetSize, RandomGenerator random) {
		this.identity = identity;
		this.membership = membership;
		this.table = table;
		this.regionBudget = regionBudget;
		this.subsetSize = subsetSize;
		this.random = random;
	}

	/**
	 * Chooses an agent.
	 * @param call the call
	 * @param configuration configuration in force
	 * @param excluded agents already tried for this call
	 * @param nowMillis present time
	 * @return the agent, or empty if none may be tried
	 */
	Optional<VmRecord> choose(Call call, AppliedConfiguration configuration, Set<Address> excluded, long nowMillis) {
		List<VmRecord> usable = candidates(call, configuration, excluded)
			.filter((agent) -> this.table.usable(agent.address(), configuration.generation(), nowMillis))
			.toList();
		List<List<VmRecord>> rings = IntStream.range(0, 3)
			.mapToObj((ring) -> subset(usable.stream().filter((agent) -> ring(agent) == ring).toList()))
			.filter((ring) -> !ring.isEmpty())
			.filter((ring) -> !crossesRegions(ring.getFirst()) || this.regionBudget.available(nowMillis))
			.toList();
		return rings.stream()
			.filter((ring) -> ring.stream().anyMatch((agent) -> utilization(agent, nowMillis) < 1))
			.findFirst()
			.or(() -> rings.stream().findFirst())
			.map((ring) -> pick(ring, call.affinity(), nowMillis));
	}

	/**
	 * Whether waiting may help a call for which there is no agent now.
	 * @param call the call
	 * @param configuration configuration in force
	 * @param excluded agents that must not be tried for this call
	 * @param nowMillis present time
	 */
	boolean mayRegainCapacity(Call call, AppliedConfiguration configuration, Set<Address> excluded, long nowMillis) {
		return candidates(call, configuration, excluded)
			.anyMatch((agent) -> this.table.mayRegainCapacity(agent.address(), configuration.generation(), nowMillis));
	}

	private Stream<VmRecord> candidates(Call call, AppliedConfiguration configuration, Set<Address> excluded) {
		return this.membership.agentsOf(call.service())
			.filter((agent) -> configuration.deployment().acceptsNewWork(call.service(), agent.dataCentre()))
			.filter((agent) -> !excluded.contains(agent.address()));
	}

	boolean crossesRegions(VmRecord agent) {
		return !agent.region().equals(this.identity.region());
	}

	private int ring(VmRecord agent) {
		if (agent.dataCentre().equals(this.identity.dataCentre())) {
			return 0;
		}
		return crossesRegions(agent) ? 2 : 1;
	}

	private List<VmRecord> subset(List<VmRecord> ring) {
		return (ring.size() <= this.subsetSize) ? ring
				: ranked(ring, this.identity.vm()).stream().limit(this.subsetSize).toList();
	}

	private VmRecord pick(List<VmRecord> ring, String affinity, long nowMillis) {
		double mean = ring.stream().mapToDouble((agent) -> utilization(agent, nowMillis)).average().orElse(0);
		VmRecord preferred = ranked(ring, affinity).getFirst();
		// One call on an idle ring must not count as overload.
		if (utilization(preferred, nowMillis) <= Math.min(0.9, BOUND * mean + 0.1)) {
			return preferred;
		}
		VmRecord first = ring.get(this.random.nextInt(ring.size()));
		VmRecord second = ring.get(this.random.nextInt(ring.size()));
		return (utilization(first, nowMillis) <= utilization(second, nowMillis)) ? first : second;
	}

	private double utilization(VmRecord agent, long nowMillis) {
		return this.table.utilization(agent.address(), nowMillis);
	}

	private static List<VmRecord> ranked(List<VmRecord> ring, String key) {
		return ring.stream().sorted(Comparator.comparingLong((agent) -> hash(key, agent))).toList();
	}

	private static long hash(String key, VmRecord agent) {
		return Hashing.komihash5_0().hashCharsToLong(key + "\n" + agent.address());
	}

}
