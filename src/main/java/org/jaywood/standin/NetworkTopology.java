package org.jaywood.standin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * VMs and links of the network stand-in, with the number of bytes that each VM sent and
 * received and that each region sent to each other region.
 */
final class NetworkTopology {

	private final Map<String, NetworkVm> vmsByHost = new ConcurrentHashMap<>();

	private final Map<String, TokenBucket> buckets = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> regionBytes = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> vmBytes = new ConcurrentHashMap<>();

	private volatile NetworkLinks links = NetworkLinks.NONE;

	/**
	 * Sets the delays and rates of the links and resets their token buckets.
	 */
	void setLinks(NetworkLinks links) {
		this.links = links;
		this.buckets.clear();
	}

	void add(NetworkVm vm) {
		this.vmsByHost.put(vm.host(), vm);
		this.buckets.remove("up " + vm.vm());
		this.buckets.remove("down " + vm.vm());
	}

	NetworkVm vmAt(String host) {
		NetworkVm vm = this.vmsByHost.get(host);
		return (vm != null) ? vm : NetworkVm.unknown(host);
	}

	long delayNanos(NetworkVm from, NetworkVm to) {
		return this.links.delayNanos(from, to);
	}

	/**
	 * Reserves time on each link from one VM to another for a number of bytes, and adds
	 * them to the counters.
	 * @return time in nanoseconds at which the last of the bytes has passed the links
	 */
	long reserve(NetworkVm from, NetworkVm to, int bytes, long nowNanos) {
		countBytes(from, to, bytes);
		return bucketsBetween(from, to, nowNanos).mapToLong((bucket) -> bucket.reserve(bytes, nowNanos))
			.max()
			.orElse(nowNanos);
	}

	private Stream<TokenBucket> bucketsBetween(NetworkVm from, NetworkVm to, long nowNanos) {
		Stream<TokenBucket> vmBuckets = Stream.of(bucket("up " + from.vm(), from.linkBytesPerSecond(), nowNanos),
				bucket("down " + to.vm(), to.linkBytesPerSecond(), nowNanos));
		return crossesRegions(from, to)
				? Stream.concat(vmBuckets,
						Stream
							.of(bucket("region " + regionPair(from, to), this.links.regionBytesPerSecond(), nowNanos)))
				: vmBuckets;
	}

	private TokenBucket bucket(String name, long bytesPerSecond, long nowNanos) {
		return this.buckets.computeIfAbsent(name, (key) -> new TokenBucket(bytesPerSecond, nowNanos));
	}

	private void countBytes(NetworkVm from, NetworkVm to, int bytes) {
		addToCounter(this.vmBytes, from.vm() + " sent", bytes);
		addToCounter(this.vmBytes, to.vm() + " received", bytes);
		if (crossesRegions(from, to)) {
			addToCounter(this.regionBytes, regionPair(from, to), bytes);
		}
	}

	private static void addToCounter(Map<String, AtomicLong> counters, String name, int bytes) {
		counters.computeIfAbsent(name, (key) -> new AtomicLong()).addAndGet(bytes);
	}

	private static boolean crossesRegions(NetworkVm from, NetworkVm to) {
		return !from.region().isEmpty() && !to.region().isEmpty() && !from.region().equals(to.region());
	}

	private static String regionPair(NetworkVm from, NetworkVm to) {
		return from.region() + " to " + to.region();
	}

	Map<String, Object> byteCounts() {
		return Map.of("regionBytes", new TreeMap<>(this.regionBytes), "machineBytes", new TreeMap<>(this.vmBytes));
	}

	/**
	 * Body of a request that changes the topology.
	 *
	 * @param vms VMs to add or replace, or null for none
	 * @param links delays and rates, or null to keep them
	 */
	record Change(List<NetworkVm> vms, NetworkLinks links) {
	}

}
