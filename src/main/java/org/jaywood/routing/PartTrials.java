package org.jaywood.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Trials of blocked parts, which end a block that is wrong or no longer right: one call
 * with the parts is sent, by one gateway of all, which has to obtain a lease for it. The
 * few trials of a block are far apart, since each may end an engine. Not safe for use by
 * several threads.
 */
final class PartTrials {

	/** Times after the last end of an engine at which the trials are due. */
	private static final List<Long> DELAYS_MILLIS = List.of(60_000L, 600_000L);

	/** Time after which a lease is requested again if its store did not answer. */
	private static final long REQUEST_INTERVAL_MILLIS = 30_000;

	private final Map<Set<String>, Progress> progressByParts = new HashMap<>();

	/**
	 * Returns the trials for which a lease has to be requested now.
	 * @param blocked all blocked parts
	 */
	List<Trial> due(Collection<BlockedParts> blocked, long nowMillis) {
		List<Trial> due = new ArrayList<>();
		for (BlockedParts parts : blocked) {
			Progress progress = this.progressByParts.computeIfAbsent(parts.parts(), (key) -> new Progress());
			if (nowMillis >= dueMillis(parts) && nowMillis >= progress.nextRequestMillis && progress.granted == null) {
				progress.nextRequestMillis = nowMillis + REQUEST_INTERVAL_MILLIS;
				due.add(new Trial(parts.parts(), progress.made + 1));
			}
		}
		return due;
	}

	/**
	 * Records that a lease was decided: whether this gateway or another one makes a
	 * trial.
	 */
	void onLeaseDecided(Trial trial, boolean granted) {
		Progress progress = this.progressByParts.get(trial.parts());
		if (progress == null || trial.number() <= progress.made) {
			return;
		}
		progress.made = trial.number();
		progress.granted = granted ? trial : null;
		if (granted) {
			progress.held.add(trial);
		}
	}

	/**
	 * Records that another gateway has acquired the lease of a trial of this gateway.
	 * @return whether the trial was still to be made, which this gateway no longer does
	 */
	boolean onLeaseLost(String leaseName) {
		return this.progressByParts.values().stream().filter((progress) -> progress.lose(leaseName)).count() > 0;
	}

	/**
	 * Takes a granted trial for a call.
	 * @param promptParts shared parts of the prompt of the call
	 * @return whether the call is the trial
	 */
	boolean take(Set<String> promptParts) {
		return this.progressByParts.values().stream().anyMatch((progress) -> progress.take(promptParts));
	}

	/**
	 * Forgets parts that are no longer blocked.
	 * @return trials whose leases this gateway can release
	 */
	List<Trial> releaseUnblocked(Collection<BlockedParts> blocked) {
		Set<Set<String>> present = new HashSet<>();
		blocked.forEach((parts) -> present.add(parts.parts()));
		List<Trial> released = new ArrayList<>();
		for (Iterator<Map.Entry<Set<String>, Progress>> each = this.progressByParts.entrySet().iterator(); each
			.hasNext();) {
			Map.Entry<Set<String>, Progress> entry = each.next();
			if (!present.contains(entry.getKey())) {
				released.addAll(entry.getValue().held);
				each.remove();
			}
		}
		return released;
	}

	/**
	 * Returns the boot time of the next trial, {@link Long#MAX_VALUE} if there is none.
	 */
	long dueMillis(BlockedParts parts) {
		Progress progress = this.progressByParts.get(parts.parts());
		int made = (progress != null) ? progress.made : 0;
		return (made < DELAYS_MILLIS.size()) ? parts.lastEndMillis() + DELAYS_MILLIS.get(made) : Long.MAX_VALUE;
	}

	/**
	 * Trials of the same parts.
	 */
	private static final class Progress {

		/** Trials that this gateway or another one has made or may make. */
		private int made;

		private long nextRequestMillis = Long.MIN_VALUE;

		private @Nullable Trial granted;

		private final List<Trial> held = new ArrayList<>();

		boolean lose(String leaseName) {
			this.held.removeIf((trial) -> trial.leaseName().equals(leaseName));
			boolean pending = this.granted != null && this.granted.leaseName().equals(leaseName);
			this.granted = pending ? null : this.granted;
			return pending;
		}

		boolean take(Set<String> promptParts) {
			Trial trial = this.granted;
			if (trial == null || !promptParts.containsAll(trial.parts())) {
				return false;
			}
			this.granted = null;
			return true;
		}

	}

}
