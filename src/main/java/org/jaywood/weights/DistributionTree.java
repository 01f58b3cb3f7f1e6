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

import org.jaywood.platform.VmRecord;

/**
 * Computes from whom each VM receives a chunk, without shared state: the ranking is a
 * rendezvous hash of chunk and VM. The store feeds the first rank of its region, a binary
 * tree over regions feeds the first rank of each region, which feeds the first rank of
 * each data centre, and a binary tree by rank feeds the rest of a data centre.
 * <p>
 * Both binary trees are Cartesian trees: heap-ordered by rank and in-order by a second
 * hash. Removing a VM therefore changes only the parents of VMs below it, whereas a tree
 * laid out by position in the ranking would change most parents. A VM has at most two
 * children in its data centre; the first rank of a region has in addition one for each
 * further data centre of its region and at most two in other regions.
 */
public final class DistributionTree {

	private static final Hasher64 RANK = Hashing.xxh3_64();

	private static final Hasher64 ORDER = Hashing.xxh3_64(1);

	private final List<VmRecord> vms;

	private final Map<String, List<VmRecord>> byRegion;

	private final String storeRegion;

	/**
	 * Creates a tree.
	 * @param vms the VMs that want the weights
	 * @param storeRegion region of the store; the first region by hash is fed by the
	 * store if no VM lies there
	 */
	public DistributionTree(Collection<VmRecord> vms, String storeRegion) {
		this.vms = List.copyOf(vms);
		this.byRegion = this.vms.stream().collect(Collectors.groupingBy(VmRecord::region));
		this.storeRegion = storeRegion;
	}

	/**
	 * The VM from which a VM receives a chunk.
	 * @return the parent, or empty if the store feeds the VM
	 */
	public Optional<VmRecord> parent(String chunk, VmRecord vm) {
		Optional<VmRecord> inDataCentre = treeOf(chunk, dataCentre(vm), VmRecord::vm).parent(vm);
		if (inDataCentre.isPresent()) {
			return inDataCentre;
		}
		VmRecord head = head(chunk, this.byRegion.getOrDefault(vm.region(), List.of()));
		if (!head.vm().equals(vm.vm())) {
			return Optional.of(head);
		}
		return regionTree(chunk).parent(vm.region()).map((region) -> head(chunk, members(region)));
	}

	/**
	 * The VMs that receive a chunk from a VM.
	 */
	public List<VmRecord> children(String chunk, VmRecord vm) {
		Stream<VmRecord> inDataCentre = treeOf(chunk, dataCentre(vm), VmRecord::vm).children(vm).stream();
		List<VmRecord> region = members(vm.region());
		if (!head(chunk, region).vm().equals(vm.vm())) {
			return inDataCentre.toList();
		}
		Stream<VmRecord> dataCentres = region.stream()
			.filter((other) -> !other.dataCentre().equals(vm.dataCentre()))
			.collect(Collectors.groupingBy(VmRecord::dataCentre))
			.values()
			.stream()
			.map((members) -> head(chunk, members));
		Stream<VmRecord> regions = regionTree(chunk).children(vm.region())
			.stream()
			.map((other) -> head(chunk, members(other)));
		return Stream.of(regions, dataCentres, inDataCentre).flatMap(Function.identity()).toList();
	}

	/**
	 * The VM of a region that sends a chunk to another region.
	 * @return the VM, or empty if the chunk does not take this link
	 */
	public Optional<VmRecord> sender(String chunk, String from, String to) {
		return this.byRegion.containsKey(to)
				? regionTree(chunk).parent(to).filter(from::equals).map((region) -> head(chunk, members(region)))
				: Optional.empty();
	}

	private List<VmRecord> members(String region) {
		return this.byRegion.getOrDefault(region, List.of());
	}

	private List<VmRecord> dataCentre(VmRecord vm) {
		return members(vm.region()).stream().filter((other) -> other.dataCentre().equals(vm.dataCentre())).toList();
	}

	private static VmRecord head(String chunk, List<VmRecord> members) {
		return members.stream().min(byRank(chunk, VmRecord::vm)).orElseThrow();
	}

	private CartesianTree<String> regionTree(String chunk) {
		Comparator<String> storeFirst = Comparator.comparing((region) -> !region.equals(this.storeRegion));
		return new CartesianTree<>(List.copyOf(this.byRegion.keySet()),
				storeFirst.thenComparing(byRank(chunk, Function.identity())), byOrder(chunk, Function.identity()));
	}

	private static CartesianTree<VmRecord> treeOf(String chunk, List<VmRecord> members,
			Function<VmRecord, String> name) {
		return new CartesianTree<>(members, byRank(chunk, name), byOrder(chunk, name));
	}

	private static <T> Comparator<T> byRank(String chunk, Function<T, String> name) {
		return byHash(RANK, chunk, name);
	}

	private static <T> Comparator<T> byOrder(String chunk, Function<T, String> name) {
		return byHash(ORDER, chunk, name);
	}

	private static <T> Comparator<T> byHash(Hasher64 hasher, String chunk, Function<T, String> name) {
		return Comparator.<T>comparingLong((item) -> hasher.hashCharsToLong(chunk + ' ' + name.apply(item)))
			.thenComparing(name);
	}

}
