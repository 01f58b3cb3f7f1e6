package org.jaywood.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;

/**
 * The VMs whose targets include a manifest, without those that recently failed. When a
 * failed VM is left out of the tree, the next VM in rank replaces it.
 */
final class Swarm {

	private static final long FAILURE_EXCLUSION_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Bounds the cached views; a VM has few target manifests at once. */
	private static final int MAX_VIEWS = 8;

	private final VmRecord self;

	private final String storeRegion;

	private final WeightMode mode;

	private final Function<String, List<VmRecord>> membersByManifest;

	/** Cached views by manifest, valid while the VMs are the same. */
	private final Map<String, View> views = new ConcurrentHashMap<>();

	private final Map<Address, Long> failedAtNanos = new ConcurrentHashMap<>();

	Swarm(WeightSettings settings, Function<String, List<VmRecord>> membersByManifest) {
		this.self = settings.self();
		this.storeRegion = settings.storeRegion();
		this.mode = settings.mode();
		this.membersByManifest = membersByManifest;
	}

	VmRecord self() {
		return this.self;
	}

	/**
	 * Excludes a VM for a while because it stalled, died or sent wrong data.
	 */
	void markFailed(Address vm, long nowNanos) {
		this.failedAtNanos.values().removeIf((failedNanos) -> nowNanos - failedNanos > FAILURE_EXCLUSION_NANOS);
		this.failedAtNanos.put(vm, nowNanos);
	}

	boolean recentlyFailed(Address vm, long nowNanos) {
		Long failedNanos = this.failedAtNanos.get(vm);
		return failedNanos != null && nowNanos - failedNanos <= FAILURE_EXCLUSION_NANOS;
	}

	/**
	 * Returns the other VMs whose targets include a manifest and that did not recently
	 * fail.
	 */
	List<VmRecord> otherMembers(String manifest, long nowNanos) {
		return this.membersByManifest.apply(manifest)
			.stream()
			.filter((vm) -> !vm.vm().equals(this.self.vm()) && !recentlyFailed(vm.address(), nowNanos))
			.toList();
	}

	Optional<VmRecord> findMember(String manifest, Address address) {
		return this.membersByManifest.apply(manifest).stream().filter((vm) -> vm.address().equals(address)).findFirst();
	}

	/**
	 * Returns the VM with an address among those with any target manifest.
	 */
	Optional<VmRecord> findInAnyManifest(Address address) {
		return findMember("", address);
	}

	/**
	 * Returns the number of VMs of this region that may send weights, at least 1.
	 */
	int membersInOwnRegion() {
		return (int) Math.max(1,
				this.membersByManifest.apply("")
					.stream()
					.filter((vm) -> vm.region().equals(this.self.region()))
					.count());
	}

	/**
	 * Returns the tree of a manifest as computed by this VM. It includes this VM even if
	 * the list of VMs does not show it yet, so that it has a parent.
	 */
	View view(String manifest, long nowNanos) {
		List<VmRecord> others = otherMembers(manifest, nowNanos);
		boolean selfListed = this.membersByManifest.apply(manifest)
			.stream()
			.anyMatch((vm) -> vm.vm().equals(this.self.vm()));
		List<VmRecord> all = new ArrayList<>(others);
		all.add(this.self);
		View cached = this.views.get(manifest);
		if (cached != null && cached.selfListed() == selfListed && cached.others().equals(others)) {
			return cached;
		}
		View view = new View(this.mode, this.self, others, selfListed, new DistributionTree(all, this.storeRegion),
				new DistributionTree(others, this.storeRegion), new ConcurrentHashMap<>());
		if (this.views.size() >= MAX_VIEWS) {
			this.views.clear();
		}
		this.views.put(manifest, view);
		return view;
	}

	/**
	 * The tree of a manifest, computed from the VMs known at one time.
	 *
	 * @param mode how weights are distributed
	 * @param self this VM
	 * @param others the other VMs
	 * @param selfListed whether the platform's list shows this VM
	 * @param tree tree with this VM
	 * @param treeOfOthers tree without this VM
	 * @param parents parents computed so far, by chunk
	 */
	record View(WeightMode mode, VmRecord self, List<VmRecord> others, boolean selfListed, DistributionTree tree,
			DistributionTree treeOfOthers, Map<String, Optional<VmRecord>> parents) {

		/**
		 * Returns the VM that sends a chunk to this VM. A VM that other VMs do not know
		 * yet must not act as the root, or each new VM of a burst would fetch from the
		 * weight store.
		 */
		Optional<VmRecord> parent(String chunk) {
			return this.parents.computeIfAbsent(chunk, this::findParent);
		}

		private Optional<VmRecord> findParent(String chunk) {
			if (this.mode == WeightMode.STORE) {
				return Optional.empty();
			}
			String key = treeKey(chunk);
			Optional<VmRecord> parent = this.tree.parent(key, this.self);
			if (parent.isPresent() || this.selfListed) {
				return parent;
			}
			return this.others.stream().filter((vm) -> this.treeOfOthers.parent(key, vm).isEmpty()).findFirst();
		}

		List<VmRecord> children(String chunk) {
			return (this.mode == WeightMode.STORE) ? List.of() : this.tree.children(treeKey(chunk), this.self);
		}

		/**
		 * Returns the VM of this region that sends a chunk to another region.
		 */
		Optional<VmRecord> sender(String chunk, String region) {
			return this.tree.sender(treeKey(chunk), this.self.region(), region);
		}

		private String treeKey(String chunk) {
			return (this.mode == WeightMode.PLAIN) ? "" : chunk;
		}

	}

}
