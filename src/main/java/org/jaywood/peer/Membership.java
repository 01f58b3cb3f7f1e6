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
 * address.
 */
public final class Membership {

	private final Map<String, VmRecord> records = new ConcurrentHashMap<>();

	private final Set<Address> observedLeaving = ConcurrentHashMap.newKeySet();

	private volatile long version;

	public long version() {
		return this.version;
	}

	public void merge(VmPage page) {
		page.vms().forEach((entry) -> {
			if (entry.state() == VmState.GONE) {
				VmRecord removed = this.records.remove(entry.vm());
				if (removed != null) {
					this.observedLeaving.remove(removed.address());
				}
			}
			else {
				this.records.put(entry.vm(), entry);
			}
		});
		this.version = page.version();
	}

	/**
	 * Notes that a process said itself that it leaves.
	 */
	public void observeLeaving(Address address) {
		this.observedLeaving.add(address);
	}

	public void observeServing(Address address) {
		this.observedLeaving.remove(address);
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
