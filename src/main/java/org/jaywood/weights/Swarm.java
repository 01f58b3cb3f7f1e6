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
 * The VMs that want a manifest, without those that failed lately. Leaving a failed VM out
 * of the tree makes the next rank take its place.
 */
final class Swarm {

	private static final long FAILURE_EXCLUSION_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Bounds the views kept; a VM wants few manifests at once. */
	private static final int MAX_VIEWS = 8;

	private final VmRecord self;

	private final String storeRegion;

	private final WeightMode mode;

	private final Function<String, List<VmRecord>> membersByManifest;

	/** Views by manifest, kept while the VMs are the same. */
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
	 * Notes that a VM stalled, died or sent wrong data.
	 */
	void markFailed(Address vm, long nowNanos) {
		this.failedAtNanos.values().removeIf((since) -> nowNanos - since > FAILURE_EXCLUSION_NANOS);
		this.failedAtNanos.put(vm, nowNanos);
	}

	boolean recentlyFailed(Address vm, long nowNanos) {
		Long since = this.failedAtNanos.get(vm);
		return since != null && nowNanos - since <= FAILURE_EXCLUSION_NANOS;
	}

	/**
	 * Other VMs that want a manifest and did not fail lately.
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
	 * Looks up a VM among those that want any manifest.
	 */
	Optional<VmRecord> findInAnyManifest(Address address) {
		return findMember("", address);
	}

	/**
	 * Number of VMs of this region that may send weights, at least 1.
	 */
	int membersInOwnRegion() {
		return (int) Math.max(1,
				this.membersByManifest.apply("")
					.stream()
					.filter((vm) -> vm.region().equals(this.self.region()))
					.count());
	}

	/**
	 * The tree of a manifest as this VM sees it. A VM that the list does not show yet
	 * still has a place, so that it finds a parent.
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
	 * A tree at one time.
	 *
	 * @param mode how weights spread
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
		 * The VM that feeds this one. A VM that others do not know yet must not act as
		 * the root, or each new VM of a burst would load from the store.
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
		 * The VM of this region that sends a chunk to another region.
		 */
		Optional<VmRecord> sender(String chunk, String region) {
			return this.tree.sender(treeKey(chunk), this.self.region(), region);
		}

		private String treeKey(String chunk) {
			return (this.mode == WeightMode.PLAIN) ? "" : chunk;
		}

	}

}
