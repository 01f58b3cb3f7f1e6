package org.jaywood.peer;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.stream.Collectors;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.store.Futures;
import org.jaywood.store.VmRecord;
import org.jaywood.wire.Address;
import org.jaywood.wire.Json;
import org.jaywood.wire.WireClient;
import org.jaywood.wire.WireException;

/**
 * State of all routers and agents, read from their operator ports.
 *
 * @param wanted generation that should be in force
 * @param author author of that generation
 * @param appliedAtMillis when that generation was applied, milliseconds since the epoch
 * @param groups states by data centre and service
 */
public record FleetStatus(long wanted, String author, long appliedAtMillis, List<Group> groups) {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);

	/** Bounds the open connections when there are thousands of VMs. */
	private static final int MAX_CONCURRENT_READS = 64;

	/**
	 * Reads the state dumps of all VMs.
	 * @param vms the VMs to read
	 * @param target configuration that should be in force
	 * @param operatorPort operator port, at the host of each VM's peer address
	 * @param client client with the credential between processes
	 * @return the state; VMs that cannot be read are included as unreachable
	 */
	public static FleetStatus read(Collection<VmRecord> vms, AppliedConfiguration target, int operatorPort,
			WireClient client) {
		Semaphore permits = new Semaphore(MAX_CONCURRENT_READS);
		List<VmStatus> statuses = vms.stream().map((entry) -> Futures.run(() -> {
			permits.acquire();
			try {
				return readOne(entry, target, new Address(entry.address().host(), operatorPort), client);
			}
			finally {
				permits.release();
			}
		})).toList().stream().map(Futures::await).toList();
		return of(statuses, target);
	}

	private static VmStatus readOne(VmRecord entry, AppliedConfiguration target, Address operator, WireClient client)
			throws InterruptedException {
		try {
			HttpResponse<byte[]> response = client.get(operator.uri("/state"), READ_TIMEOUT);
			if (response.statusCode() != 200) {
				return VmStatus.unreachable(entry, operator + " answers " + response.statusCode());
			}
			return VmStatus.of(entry, Json.tree(response.body()), target);
		}
		catch (IOException | WireException ex) {
			return VmStatus.unreachable(entry, "no answer from " + operator);
		}
	}

	static FleetStatus of(List<VmStatus> statuses, AppliedConfiguration target) {
		Comparator<Group> order = Comparator.comparing(Group::dataCentre).thenComparing(Group::service);
		Map<List<String>, List<VmStatus>> statusesByGroup = new HashMap<>(statuses.stream()
			.collect(Collectors.groupingBy((status) -> List.of(status.dataCentre(), groupName(status)))));
		// A data centre that has no VM of a service is shown as an empty group.
		target.deployment()
			.services()
			.forEach((name, spec) -> spec.dataCentres()
				.forEach((dataCentre) -> statusesByGroup.putIfAbsent(List.of(dataCentre, name), List.of())));
		List<Group> groups = statusesByGroup.entrySet()
			.stream()
			.map((entry) -> group(entry.getKey().getFirst(), entry.getKey().getLast(), entry.getValue(), target))
			.sorted(order)
			.toList();
		return new FleetStatus(target.generation(), target.author(), target.appliedAtMillis(), groups);
	}

	private static String groupName(VmStatus status) {
		return status.service().isEmpty() ? status.role() : status.service();
	}

	private static Group group(String dataCentre, String service, List<VmStatus> statuses,
			AppliedConfiguration target) {
		boolean inService = target.deployment().dataCentres().containsKey(dataCentre)
				&& target.deployment().dataCentres().get(dataCentre).inService();
		long inForce = statuses.stream().filter((status) -> status.generation() >= target.generation()).count();
		Map<String, Long> upstreams = statuses.stream()
			.map(VmStatus::upstreamState)
			.filter((state) -> !state.isEmpty())
			.collect(Collectors.groupingBy((state) -> state, TreeMap::new, Collectors.counting()));
		List<VmStatus> behind = statuses.stream()
			.filter(VmStatus::behind)
			.sorted(Comparator.comparing(VmStatus::vm))
			.toList();
		return new Group(dataCentre, service, inService, inForce, statuses.size(), upstreams, behind);
	}

	/**
	 * Whether the target generation is in force on all VMs and no VM is behind.
	 */
	public boolean complete() {
		return this.groups.stream().allMatch((group) -> group.behind().isEmpty() && group.inForce() == group.vms());
	}

	/**
	 * State of one service, or of the routers, in one data centre.
	 *
	 * @param dataCentre the data centre
	 * @param service the service, or {@code router}
	 * @param inService whether the data centre is in service
	 * @param inForce number of VMs on which the target generation is in force
	 * @param vms number of VMs
	 * @param upstreams number of upstreams by state
	 * @param behind VMs that have not reached the target configuration
	 */
	public record Group(String dataCentre, String service, boolean inService, long inForce, long vms,
			Map<String, Long> upstreams, List<VmStatus> behind) {
	}

}
