package org.jaywood.peer;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.store.VmRecord;

/**
 * Elects the few processes of a data centre that watch the configuration and the list of
 * VMs at the platform. Each process decides for itself by hash rank over its list of VMs,
 * so the election needs no messages. If the lists of processes differ, there may be a
 * watcher more or less.
 */
final class WatcherElection {

	/** Two watchers may fail at the same time without delaying the configuration. */
	static final int WATCHERS = 3;

	private volatile Result cachedResult = new Result(List.of(), true);

	/**
	 * Whether a VM is a watcher of its data centre. An election sorts the VMs of the data
	 * centre, so the last result is cached for as long as the list is the same object.
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
	 * Whether a VM is a watcher of its data centre. If the list contains no VM of the
	 * data centre, every VM of it is a watcher.
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
	 * Result of the election for one list.
	 */
	private record Result(List<VmRecord> live, boolean elected) {
	}

}
