package org.jaywood.standin;

import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jaywood.standin.NetworkFault.Kind;

/**
 * Active faults, and how often faults of each kind took effect.
 */
final class NetworkFaults {

	private final Map<String, ActiveFault> activeFaults = new ConcurrentHashMap<>();

	private final Map<String, Integer> effectsByKind = new ConcurrentHashMap<>();

	ActiveFault add(NetworkFault fault) {
		ActiveFault added = new ActiveFault(UUID.randomUUID().toString(), fault, new AtomicInteger());
		this.activeFaults.put(added.id(), added);
		return added;
	}

	boolean remove(String id) {
		return this.activeFaults.remove(id) != null;
	}

	Stream<ActiveFault> matching(Kind kind, NetworkVm opener, NetworkVm acceptor) {
		return this.activeFaults.values()
			.stream()
			.filter((candidate) -> candidate.fault().kind() == kind && candidate.fault().appliesTo(opener, acceptor));
	}

	/**
	 * Counts one effect of a fault, and removes the fault when its limit of times is
	 * reached.
	 * @return whether the fault may take effect
	 */
	boolean tryApply(ActiveFault activeFault) {
		int count = activeFault.strikes().incrementAndGet();
		int times = activeFault.fault().times();
		if (times > 0 && count >= times) {
			this.activeFaults.remove(activeFault.id());
		}
		boolean allowed = times == 0 || count <= times;
		if (allowed) {
			this.effectsByKind.merge(activeFault.fault().kind().name(), 1, Integer::sum);
		}
		return allowed;
	}

	boolean isBlocked(NetworkVm opener, NetworkVm acceptor, boolean reply) {
		return !this.activeFaults.isEmpty() && (matching(Kind.PARTITION, opener, acceptor).findAny().isPresent()
				|| matching(Kind.FREEZE, opener, acceptor).anyMatch(affects(reply)));
	}

	long delayMillis(NetworkVm opener, NetworkVm acceptor, boolean reply) {
		return this.activeFaults.isEmpty() ? 0
				: matching(Kind.DELAY, opener, acceptor).filter(affects(reply))
					.mapToLong((activeFault) -> activeFault.fault().delayMillis())
					.sum();
	}

	boolean isEmpty() {
		return this.activeFaults.isEmpty();
	}

	static Predicate<ActiveFault> affects(boolean reply) {
		return (candidate) -> candidate.fault().affects(reply);
	}

	Map<String, Object> record() {
		return Map.of("active",
				this.activeFaults.values()
					.stream()
					.collect(Collectors.toMap(ActiveFault::id, (entry) -> entry.fault().kind().name())),
				"struck", Map.copyOf(this.effectsByKind));
	}

	/**
	 * Fault that is in effect.
	 *
	 * @param id id for the removal of the fault
	 * @param fault the fault
	 * @param strikes number of times that the fault was applied or would have been
	 * applied
	 */
	record ActiveFault(String id, NetworkFault fault, AtomicInteger strikes) {
	}

}
