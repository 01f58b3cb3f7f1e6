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
 * The faults in force and how often each struck.
 */
final class NetworkFaults {

	private final Map<String, Active> active = new ConcurrentHashMap<>();

	private final Map<String, Integer> struck = new ConcurrentHashMap<>();

	Active add(NetworkFault fault) {
		Active added = new Active(UUID.randomUUID().toString(), fault, new AtomicInteger());
		this.active.put(added.id(), added);
		return added;
	}

	boolean remove(String id) {
		return this.active.remove(id) != null;
	}

	Stream<Active> of(Kind kind, NetworkVm opener, NetworkVm acceptor) {
		return this.active.values()
			.stream()
			.filter((candidate) -> candidate.fault().kind() == kind && candidate.fault().appliesTo(opener, acceptor));
	}

	/**
	 * Counts a strike, and removes the fault with the last of its limited strikes.
	 * @return whether the fault may strike
	 */
	boolean strike(Active hit) {
		int count = hit.strikes().incrementAndGet();
		int times = hit.fault().times();
		if (times > 0 && count >= times) {
			this.active.remove(hit.id());
		}
		boolean allowed = times == 0 || count <= times;
		if (allowed) {
			this.struck.merge(hit.fault().kind().name(), 1, Integer::sum);
		}
		return allowed;
	}

	boolean frozen(NetworkVm opener, NetworkVm acceptor, boolean reply) {
		return !this.active.isEmpty() && (of(Kind.PARTITION, opener, acceptor).findAny().isPresent()
				|| of(Kind.FREEZE, opener, acceptor).anyMatch(affects(reply)));
	}

	long delayMillis(NetworkVm opener, NetworkVm acceptor, boolean reply) {
		return this.active.isEmpty() ? 0
				: of(Kind.DELAY, opener, acceptor).filter(affects(reply))
					.mapToLong((hit) -> hit.fault().delayMillis())
					.sum();
	}

	boolean none() {
		return this.active.isEmpty();
	}

	static Predicate<Active> affects(boolean reply) {
		return (candidate) -> candidate.fault().affects(reply);
	}

	Map<String, Object> record() {
		return Map.of("active",
				this.active.values()
					.stream()
					.collect(Collectors.toMap(Active::id, (entry) -> entry.fault().kind().name())),
				"struck", Map.copyOf(this.struck));
	}

	/**
	 * A fault in force.
	 */
	record Active(String id, NetworkFault fault, AtomicInteger strikes) {
	}

}
