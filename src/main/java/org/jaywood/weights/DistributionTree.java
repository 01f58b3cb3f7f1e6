package org.jaywood.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

import org.jaywood.store.VmRecord;

/**
 * Computes from which VM each VM receives a chunk, without shared state. The order of the
 * VMs is their hash rank, a rendezvous hash of chunk and VM. The weight store sends the
 * chunk to the first VM in rank of its region. Along a binary tree over regions it
 * reaches the first VM in rank of each region, which sends it to the first VM in rank of
 * each data centre of the region. A binary tree over the VMs of a data centre distributes
 * it to the others.
 * <p>
 * Both binary trees are Cartesian trees: heap-ordered by hash rank and symmetrically
 * ordered by a second hash. Removing a VM therefore changes only the parents of VMs below
 * it, whereas a tree built from positions in the ranking would change most parents. A VM
 * has at most two children in its data centre. The first VM in rank of a region has in
 * addition one child for each further data centre of its region and at most two in other
 * regions.
 */
public final class DistributionTree {

	private static final Hasher64 RANK_HASHER = Hashing.xxh3_64();

	private static final Hasher64 ORDER_HASHER = Hashing.xxh3_64(1);

	private final List<VmRecord> vms;

	private final Map<String, List<VmRecord>> vmsByRegion;

	private final String storeRegion;

	/**
	 * Creates a tree.
	 * @param vms the VMs whose target includes the weights
	 * @param storeRegion region of the weight store; if it has no VM, the weight store
	 * sends chunks to the first region in rank
	 */
	public DistributionTree(Collection<VmRecord> vms, String storeRegion) {
		this.vms = List.copyOf(vms);
		this.vmsByRegion = this.vms.stream().collect(Collectors.groupingBy(VmRecord::region));
		this.storeRegion = storeRegion;
	}

	/**
	 * Returns the VM from which a VM receives a chunk.
	 * @return the parent, or empty if the VM fetches from the weight store
	 */
	public Optional<VmRecord> parent(String chunk, VmRecord vm) {
		Optional<VmRecord> inDataCentre = dataCentreTree(chunk, vmsInDataCentre(vm), VmRecord::vm)
			.parent(RankedItem.of(chunk, vm, VmRecord::vm))
			.map(RankedItem::item);
		if (inDataCentre.isPresent()) {
			return inDataCentre;
		}
		VmRecord regionRoot = firstInRank(chunk, this.vmsByRegion.getOrDefault(vm.region(), List.of()));
		if (!regionRoot.vm().equals(vm.vm())) {
			return Optional.of(regionRoot);
		}
		return regionTree(chunk).parent(RankedItem.of(chunk, vm.region(), Function.identity()))
			.map((region) -> firstInRank(chunk, vmsInRegion(region.item())));
	}

	/**
	 * Returns the VMs that receive a chunk from a VM.
	 */
	public List<VmRecord> children(String chunk, VmRecord vm) {
		Stream<VmRecord> inDataCentre = dataCentreTree(chunk, vmsInDataCentre(vm), VmRecord::vm)
			.children(RankedItem.of(chunk, vm, VmRecord::vm))
			.stream()
			.map(RankedItem::item);
		List<VmRecord> region = vmsInRegion(vm.region());
		if (!firstInRank(chunk, region).vm().equals(vm.vm())) {
			return inDataCentre.toList();
		}
		Stream<VmRecord> dataCentres = region.stream()
			.filter((other) -> !other.dataCentre().equals(vm.dataCentre()))
			.collect(Collectors.groupingBy(VmRecord::dataCentre))
			.values()
			.stream()
			.map((members) -> firstInRank(chunk, members));
		Stream<VmRecord> regions = regionTree(chunk).children(RankedItem.of(chunk, vm.region(), Function.identity()))
			.stream()
			.map((other) -> firstInRank(chunk, vmsInRegion(other.item())));
		return Stream.of(regions, dataCentres, inDataCentre).flatMap(Function.identity()).toList();
	}

	/**
	 * Returns the VM of a region that sends a chunk to another region.
	 * @return the VM, or empty if the chunk is not sent over this link
	 */
	public Optional<VmRecord> sender(String chunk, String from, String to) {
		return this.vmsByRegion.containsKey(to)
				? regionTree(chunk).parent(RankedItem.of(chunk, to, Function.identity()))
					.filter((region) -> region.item().equals(from))
					.map((region) -> firstInRank(chunk, vmsInRegion(from)))
				: Optional.empty();
	}

	private List<VmRecord> vmsInRegion(String region) {
		return this.vmsByRegion.getOrDefault(region, List.of());
	}

	private List<VmRecord> vmsInDataCentre(VmRecord vm) {
		return vmsInRegion(vm.region()).stream().filter((other) -> other.dataCentre().equals(vm.dataCentre())).toList();
	}

	private static VmRecord firstInRank(String chunk, List<VmRecord> members) {
		return members.stream()
			.map((vm) -> RankedItem.of(chunk, vm, VmRecord::vm))
			.min(RankedItem.byRank())
			.map(RankedItem::item)
			.orElseThrow();
	}

	private CartesianTree<RankedItem<String>> regionTree(String chunk) {
		Comparator<RankedItem<String>> storeFirst = Comparator
			.comparing((region) -> !region.item().equals(this.storeRegion));
		return new CartesianTree<>(rankedItems(chunk, this.vmsByRegion.keySet(), Function.identity()),
				storeFirst.thenComparing(RankedItem.byRank()), RankedItem.byOrder());
	}

	private static CartesianTree<RankedItem<VmRecord>> dataCentreTree(String chunk, List<VmRecord> members,
			Function<VmRecord, String> name) {
		return new CartesianTree<>(rankedItems(chunk, members, name), RankedItem.byRank(), RankedItem.byOrder());
	}

	private static <T> List<RankedItem<T>> rankedItems(String chunk, Collection<T> items, Function<T, String> name) {
		return items.stream().map((item) -> RankedItem.of(chunk, item, name)).toList();
	}

	/**
	 * An item with its hashes for a chunk, computed once instead of in each comparison.
	 *
	 * @param item the item
	 * @param name name of the item, which orders items with equal hashes
	 * @param rank hash rank
	 * @param order hash that gives the position from left to right
	 * @param <T> type of the item
	 */
	private record RankedItem<T>(T item, String name, long rank, long order) {

		static <T> RankedItem<T> of(String chunk, T item, Function<T, String> name) {
			String text = name.apply(item);
			String key = chunk + ' ' + text;
			return new RankedItem<>(item, text, RANK_HASHER.hashCharsToLong(key), ORDER_HASHER.hashCharsToLong(key));
		}

		static <T> Comparator<RankedItem<T>> byRank() {
			return Comparator.<RankedItem<T>>comparingLong(RankedItem::rank).thenComparing(RankedItem::name);
		}

		static <T> Comparator<RankedItem<T>> byOrder() {
			return Comparator.<RankedItem<T>>comparingLong(RankedItem::order).thenComparing(RankedItem::name);
		}

	}

}
