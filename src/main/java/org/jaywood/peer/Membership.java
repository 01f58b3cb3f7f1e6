package org.jaywood.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import org.jaywood.platform.VmPage;
import org.jaywood.platform.VmRecord;
import org.jaywood.platform.VmState;
import org.jaywood.wire.Address;

/**
 * The VMs known to a process: the platform's lagging list, corrected by what the process
 * saw itself. An observed leave stays until the list shows the VM as gone or under a new
 * address, or the process there says that it serves.
 */
public final class Membership {

	private final Map<String, VmRecord> records = new ConcurrentHashMap<>();

	private final Set<Address> observedLeaving = ConcurrentHashMap.newKeySet();

	private volatile long version;

	public long version() {
		return this.version;
	}

	/**
	 * Merges changes of the platform's list. A platform that came back with an older list
	 * lowers the version, so that its next changes are seen; VMs that the older list
	 * lacks are kept until it shows them as gone.
	 */
	public synchronized void merge(VmPage page) {
		page.vms().forEach(this::merge);
		this.version = page.version();
	}

	private void merge(VmRecord entry) {
		VmRecord before = (entry.state() != VmState.GONE) ? this.records.put(entry.vm(), entry)
				: this.records.remove(entry.vm());
		if (before != null && (entry.state() == VmState.GONE || !before.address().equals(entry.address()))) {
			this.observedLeaving.remove(before.address());
		}
	}

	/**
	 * Takes the list of a peer if nothing is known yet, so that a process started during
	 * an outage of the platform knows its peers.
	 */
	public synchronized void adopt(VmPage page) {
		if (this.version == 0) {
			page.vms().forEach(this::merge);
		}
	}

	/**
	 * The whole list with the version up to which it is complete.
	 */
	public synchronized VmPage page() {
		return new VmPage(this.version, List.copyOf(this.records.values()));
	}

	/**
	 * Notes that a process said itself that it leaves.
	 */
	public void observeLeaving(Address address) {
		if (this.records.values().stream().anyMatch((entry) -> entry.address().equals(address))) {
			this.observedLeaving.add(address);
		}
	}

	public void observeServing(Address address) {
		this.observedLeaving.remove(address);
	}

	/**
	 * Whether the list shows a VM as leaving.
	 */
	public boolean listedLeaving(String vm) {
		VmRecord entry = this.records.get(vm);
		return entry != null && entry.state() == VmState.LEAVING;
	}

	public Collection<VmRecord> all() {
		return List.copyOf(this.records.values());
	}

	/**
	 * VMs that take new work, as far as known.
	 */
	public Stream<VmRecord> live() {
		return this.records.values()
			.stream()
			.filter((entry) -> entry.state() == VmState.LIVE && !this.observedLeaving.contains(entry.address()));
	}

	/**
	 * Agents of a service that take new work, as far as known.
	 */
	public Stream<VmRecord> agentsOf(String service) {
		return live().filter((entry) -> entry.role().equals("agent") && entry.service().equals(service));
	}

}
