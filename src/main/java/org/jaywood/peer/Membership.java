package org.jaywood.peer;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.jaywood.store.VmPage;
import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;

/**
 * The VMs known to a process: the platform's list, which lags, corrected by what
 * processes report in probes. A process that reported that it is leaving is excluded
 * until the list shows its VM as gone or under a new address, or the process reports that
 * it serves.
 */
public final class Membership {

	/** Covers several days of replaced VMs at the planned size. */
	private static final int MAX_GONE_VMS = 1_000;

	private final Map<String, VmRecord> records = new ConcurrentHashMap<>();

	private final Set<Address> observedLeaving = ConcurrentHashMap.newKeySet();

	/** Last change of each VM, including VMs that are gone, oldest first. */
	private final Map<String, Change> changes = new LinkedHashMap<>();

	private long discardedVersion;

	private volatile Runnable changeListener = () -> {
	};

	/** Incremented at each change of the result of {@link #live}. */
	private final AtomicLong revision = new AtomicLong();

	private volatile LiveVms cachedLiveVms = new LiveVms(0, List.of());

	private volatile long version;

	public long version() {
		return this.version;
	}

	/**
	 * Merges changes of the platform's list. If the platform was restored with an older
	 * list, the version decreases, so that its next changes are received. VMs that are
	 * missing from the older list are kept until the list shows them as gone.
	 */
	public void merge(VmPage page) {
		boolean changed;
		synchronized (this) {
			changed = page.version() != this.version || !page.vms().isEmpty();
			applyPage(page);
		}
		if (changed) {
			this.changeListener.run();
		}
	}

	/**
	 * Merges changes that a peer sent, unless this list is at least as new.
	 */
	public void mergeFromPeer(VmPage page) {
		synchronized (this) {
			if (page.version() <= this.version) {
				return;
			}
			applyPage(page);
		}
		this.changeListener.run();
	}

	private void applyPage(VmPage page) {
		page.vms().forEach((entry) -> merge(entry, page.version()));
		this.version = page.version();
		this.revision.incrementAndGet();
	}

	private void merge(VmRecord entry, long pageVersion) {
		// The version of the page is at least that of each entry. A peer that requests
		// the changes after its own version therefore misses none, but may receive an
		// entry twice.
		this.changes.remove(entry.vm());
		this.changes.put(entry.vm(), new Change(pageVersion, entry));
		discardOldestGone();
		VmRecord before = (entry.state() != VmState.GONE) ? this.records.put(entry.vm(), entry)
				: this.records.remove(entry.vm());
		if (before != null && (entry.state() == VmState.GONE || !before.address().equals(entry.address()))) {
			this.observedLeaving.remove(before.address());
		}
	}

	/**
	 * Merges the list of a peer if this list is still empty, so that a process that
	 * starts during an outage of the platform knows its peers. The version stays 0.
	 */
	public synchronized void mergeIfEmpty(VmPage page) {
		if (this.version == 0) {
			page.vms().forEach((entry) -> merge(entry, 0));
			this.revision.incrementAndGet();
		}
	}

	/**
	 * Returns the changes after a version, for a peer.
	 * @param afterVersion version of the peer's list; 0 for the whole list
	 * @return the changes, or empty if some of them were discarded
	 */
	public synchronized Optional<VmPage> changesAfter(long afterVersion) {
		if (afterVersion == 0) {
			return Optional.of(page());
		}
		if (afterVersion < this.discardedVersion) {
			return Optional.empty();
		}
		return Optional.of(new VmPage(this.version,
				this.changes.values()
					.stream()
					.filter((change) -> change.version() > afterVersion)
					.map(Change::entry)
					.toList()));
	}

	private void discardOldestGone() {
		if (this.changes.size() - this.records.size() <= MAX_GONE_VMS) {
			return;
		}
		this.changes.values()
			.stream()
			.filter((change) -> change.entry().state() == VmState.GONE)
			.findFirst()
			.ifPresent((oldest) -> {
				this.changes.remove(oldest.entry().vm());
				this.discardedVersion = Math.max(this.discardedVersion, oldest.version());
			});
	}

	/**
	 * Sets the listener that is called after each change of the list.
	 */
	void onChange(Runnable listener) {
		this.changeListener = listener;
	}

	/**
	 * Returns the whole list with its version.
	 */
	public synchronized VmPage page() {
		return new VmPage(this.version, List.copyOf(this.records.values()));
	}

	/**
	 * Records that a process reported that it is leaving.
	 */
	public void observeLeaving(Address address) {
		if (this.records.values().stream().anyMatch((entry) -> entry.address().equals(address))
				&& this.observedLeaving.add(address)) {
			this.revision.incrementAndGet();
		}
	}

	public void observeServing(Address address) {
		if (this.observedLeaving.remove(address)) {
			this.revision.incrementAndGet();
		}
	}

	/**
	 * Whether the list shows a VM as leaving.
	 */
	public boolean isListedAsLeaving(String vm) {
		VmRecord entry = this.records.get(vm);
		return entry != null && entry.state() == VmState.LEAVING;
	}

	public Collection<VmRecord> all() {
		return List.copyOf(this.records.values());
	}

	/**
	 * Returns the VMs that accept new work, as far as known.
	 */
	public Stream<VmRecord> live() {
		return liveList().stream();
	}

	/**
	 * Returns the same VMs as {@link #live} as a list, which is the same object until the
	 * VMs change. It is cached because the planned size is about 2,000 VMs and the list
	 * is read several times a second.
	 */
	List<VmRecord> liveList() {
		// The revision is read before the records and incremented after each change. A
		// list that misses a change therefore has an older revision and is rebuilt.
		long current = this.revision.get();
		LiveVms cached = this.cachedLiveVms;
		if (cached.revision() == current) {
			return cached.vms();
		}
		List<VmRecord> vms = this.records.values()
			.stream()
			.filter((entry) -> entry.state() == VmState.LIVE && !this.observedLeaving.contains(entry.address()))
			.toList();
		this.cachedLiveVms = new LiveVms(current, vms);
		return vms;
	}

	/**
	 * Returns the agents of a service that accept new work, as far as known.
	 */
	public Stream<VmRecord> agentsOf(String service) {
		return live().filter((entry) -> entry.role().equals("agent") && entry.service().equals(service));
	}

	/**
	 * Last change of a VM and the version of the page that contained it.
	 */
	private record Change(long version, VmRecord entry) {
	}

	/**
	 * Live VMs at a revision.
	 */
	private record LiveVms(long revision, List<VmRecord> vms) {
	}

}
