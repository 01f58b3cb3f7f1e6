package org.jaywood.weights;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.jaywood.store.VmRecord;
import org.jaywood.store.VmState;
import org.jaywood.wire.Address;
import org.jaywood.wire.Digests;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against VMs that do not receive a chunk, chunks that are sent over a region link
 * twice, uneven load, and changed parents of unrelated VMs when one VM is removed.
 */
class DistributionTreeTests {

	@Property(tries = 200, seed = "1")
	void reachesEachVmOnce(@ForAll @IntRange(min = 1, max = 60) int count,
			@ForAll @IntRange(min = 1, max = 6) int regions, @ForAll @IntRange(min = 1, max = 3) int dataCentres,
			@ForAll int seed) {
		List<VmRecord> vms = vms(count, regions, dataCentres);
		DistributionTree tree = new DistributionTree(vms, "r0");
		String chunk = chunk(seed);
		List<VmRecord> roots = vms.stream().filter((vm) -> tree.parent(chunk, vm).isEmpty()).toList();
		assertThat(roots).hasSize(1);
		assertThat(roots.getFirst().region()).isEqualTo("r0");
		Set<VmRecord> reached = new HashSet<>();
		visit(tree, chunk, roots.getFirst(), reached);
		assertThat(reached).containsExactlyElementsIn(vms);
		vms.forEach((vm) -> tree.children(chunk, vm)
			.forEach((child) -> assertThat(tree.parent(chunk, child)).isEqualTo(Optional.of(vm))));
	}

	@Property(tries = 200, seed = "1")
	void sendsChunkOnceToEachFurtherRegion(@ForAll @IntRange(min = 1, max = 60) int count,
			@ForAll @IntRange(min = 1, max = 6) int regions, @ForAll @IntRange(min = 1, max = 3) int dataCentres,
			@ForAll int seed) {
		List<VmRecord> vms = vms(count, regions, dataCentres);
		DistributionTree tree = new DistributionTree(vms, "r0");
		String chunk = chunk(seed);
		long crossings = vms.stream()
			.filter((vm) -> tree.parent(chunk, vm).filter((parent) -> !parent.region().equals(vm.region())).isPresent())
			.count();
		assertThat(crossings).isEqualTo(Math.min(count, regions) - 1);
		vms.forEach((vm) -> {
			List<VmRecord> children = tree.children(chunk, vm);
			assertThat(children.stream().filter((child) -> child.dataCentre().equals(vm.dataCentre())).count())
				.isAtMost(2);
			assertThat(children.size()).isAtMost(2 + (dataCentres - 1) + 2);
		});
	}

	/**
	 * Guards against shares of a region link that omit a sender or count one twice.
	 */
	@Property(tries = 200, seed = "1")
	void returnsOneSenderPerUsedRegionLink(@ForAll @IntRange(min = 1, max = 60) int count,
			@ForAll @IntRange(min = 1, max = 6) int regions, @ForAll int seed) {
		List<VmRecord> vms = vms(count, regions, 2);
		DistributionTree tree = new DistributionTree(vms, "r0");
		String chunk = chunk(seed);
		vms.forEach((vm) -> tree.children(chunk, vm)
			.stream()
			.filter((child) -> !child.region().equals(vm.region()))
			.forEach(
					(child) -> assertThat(tree.sender(chunk, vm.region(), child.region())).isEqualTo(Optional.of(vm))));
		long senders = vms.stream()
			.map(VmRecord::region)
			.distinct()
			.flatMap((from) -> vms.stream()
				.map(VmRecord::region)
				.distinct()
				.flatMap((to) -> tree.sender(chunk, from, to).stream()))
			.count();
		assertThat(senders).isEqualTo(Math.min(count, regions) - 1);
	}

	@Property(tries = 200, seed = "1")
	void removalChangesParentsOnlyBelowTheRemovedVm(@ForAll @IntRange(min = 2, max = 60) int count,
			@ForAll @IntRange(min = 1, max = 6) int regions, @ForAll int seed) {
		List<VmRecord> vms = vms(count, regions, 2);
		VmRecord removed = vms.get(Math.floorMod(seed, count));
		List<VmRecord> rest = vms.stream().filter((vm) -> !vm.equals(removed)).toList();
		String chunk = chunk(seed);
		DistributionTree before = new DistributionTree(vms, "r0");
		DistributionTree after = new DistributionTree(rest, "r0");
		Set<VmRecord> below = new HashSet<>();
		visit(before, chunk, removed, below);
		rest.stream()
			.filter((vm) -> !below.contains(vm))
			.forEach((vm) -> assertThat(after.parent(chunk, vm)).isEqualTo(before.parent(chunk, vm)));
	}

	@Property(tries = 20, seed = "1")
	void spreadsUploadsEvenly(@ForAll int seed) {
		int count = 24;
		int chunks = 1_000;
		List<VmRecord> vms = vms(count, 3, 2);
		DistributionTree tree = new DistributionTree(vms, "r0");
		Map<VmRecord, Integer> uploads = new HashMap<>();
		IntStream.range(0, chunks)
			.mapToObj((index) -> chunk(seed + index))
			.forEach((chunk) -> vms.forEach((vm) -> uploads.merge(vm, tree.children(chunk, vm).size(), Integer::sum)));
		// 23 of 24 VMs receive each chunk from a VM. The region of the weight store also
		// sends it to the other regions, which adds up to two uploads for its eight VMs.
		vms.forEach(
				(vm) -> assertThat(uploads.get(vm)).isIn(Range.closed((int) (chunks * 0.70), (int) (chunks * 1.35))));
	}

	private static void visit(DistributionTree tree, String chunk, VmRecord vm, Set<VmRecord> reached) {
		assertThat(reached.add(vm)).isTrue();
		tree.children(chunk, vm).forEach((child) -> visit(tree, chunk, child, reached));
	}

	private static String chunk(int seed) {
		return Digests.sha256("chunk " + seed);
	}

	private static List<VmRecord> vms(int count, int regions, int dataCentres) {
		return IntStream.range(0, count).mapToObj((index) -> {
			String region = "r" + index % regions;
			String dataCentre = region + "-d" + index / regions % dataCentres;
			return new VmRecord("vm" + index, "agent", "pool", region, dataCentre, new Address("127.0.0.1", 1 + index),
					VmState.LIVE);
		}).toList();
	}

}
