package org.jaywood.router;

import java.util.Comparator;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.store.VmRecord;

/**
 * Elects the router that sweeps expired claims, so that the load on the store does not
 * grow with the number of routers. Each router decides by itself, by hash rank
 * (rendezvous hashing) over its list of VMs. If lists or clocks differ, two routers may
 * sweep at once or none for a while; both are harmless.
 */
final class SweeperElection {

	/**
	 * Time after which a new router is elected, so that one that cannot reach the store
	 * delays the sweep by no more than this.
	 */
	static final long TERM_MILLIS = 600_000;

	private SweeperElection() {
	}

	/**
	 * Whether a router sweeps now. A router whose list contains no router elects itself.
	 * @param liveVms the VMs of all roles that accept new work
	 * @param vm the VM of the router
	 * @param wallMillis present time, milliseconds since the epoch
	 */
	static boolean isElected(Stream<VmRecord> liveVms, String vm, long wallMillis) {
		long term = wallMillis / TERM_MILLIS;
		return liveVms.filter((member) -> member.role().equals("router"))
			.map(VmRecord::vm)
			.min(Comparator.comparingLong((String router) -> hashRank(router, term))
				.thenComparing(Comparator.naturalOrder()))
			.map(vm::equals)
			.orElse(true);
	}

	private static long hashRank(String vm, long term) {
		return Hashing.komihash5_0().hashCharsToLong("claim-sweep " + vm + " " + term);
	}

}
