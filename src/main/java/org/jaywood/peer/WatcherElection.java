package org.jaywood.peer;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.store.VmRecord;

/**
 * Chooses the few processes of a data centre that watch the configuration at the
 * platform. Each process decides for itself by rendezvous rank over its list of VMs, so
 * the choice needs no messages; differing lists cost a watch more or less.
 */
final class WatcherElection {

	/** Two may fail at once without delay to the configuration. */
	static final int WATCHERS = 3;

	private volatile Result cachedResult = new Result(List.of(), true);

	/**
	 * Whether a VM is a watcher of its data centre, by a list that is the same object as
	 * long as it does not change. Each election sorts the VMs of the data centre, so one
	 * process keeps the last result.
	 */
	boolean isElected(List<VmRecord> live, String dataCentre, String vm) {
		Result cached = this.cachedResult;
		if (cached.live() != live) {
			cached = new Result(live, isElected(live.stream(), dataCentre, vm));
			this.cachedResult = cached;
		}
		return cached.elected();
	}

	/**
	 * Whether a VM is a watcher of its data centre. A VM without known neighbours is.
	 */
	static boolean isElected(Stream<VmRecord> live, String dataCentre, String vm) {
		List<String> ranked = live.filter((entry) -> entry.dataCentre().equals(dataCentre))
			.map(VmRecord::vm)
			.sorted(Comparator.comparingLong(WatcherElection::score).thenComparing(Comparator.naturalOrder()))
			.limit(WATCHERS)
			.toList();
		return ranked.contains(vm) || ranked.isEmpty();
	}

	private static long score(String vm) {
		return Hashing.komihash5_0().hashCharsToLong("configuration-watch " + vm);
	}

	/**
	 * Result for one list.
	 */
	private record Result(List<VmRecord> live, boolean elected) {
	}

}
