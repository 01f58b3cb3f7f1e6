package org.jaywood.router;

import java.util.Comparator;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.store.VmRecord;

/**
 * Chooses the router that sweeps expired claims, so that the calls to the platform do not
 * grow with the number of routers. Each router decides for itself by rendezvous rank over
 * its list of VMs. Differing lists or clocks make two sweep at once or none for a while,
 * and both are harmless.
 */
final class SweeperElection {

	/**
	 * Time after which another router is chosen, so that one that cannot reach the
	 * platform delays the sweep only for so long.
	 */
	static final long TERM_MILLIS = 600_000;

	private SweeperElection() {
	}

	/**
	 * Whether a router sweeps now. A router that knows of none does.
	 * @param liveVms the VMs of all roles that take new work
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
