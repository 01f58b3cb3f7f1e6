package org.jaywood.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;
import org.jaywood.wire.Json;

/**
 * Leased slots that enforce the surge limit of a service, stored in the object
 * {@code activation/<service>}. Only the capacity of the service depends on them. A slot
 * of another VM expires when this process has seen it unchanged for one and a half
 * leases, so that clocks are never compared.
 */
final class ActivationSlots {

	static final String KIND = "activation";

	private final ObjectStore store;

	private final String service;

	private final String holder;

	private final long leaseMillis;

	private final Map<String, ObservedRenewal> observedRenewals = new HashMap<>();

	private long renewalCount;

	ActivationSlots(ObjectStore store, String service, String holder, long leaseMillis) {
		this.store = store;
		this.service = service;
		this.holder = holder;
		this.leaseMillis = leaseMillis;
	}

	/**
	 * Acquires a slot or renews the one held. A slot whose write succeeded although its
	 * response was lost is recognised as the agent's own.
	 * @param surge number of slots
	 * @param nowNanos present time of the monotonic clock
	 * @return whether this agent holds a slot
	 */
	synchronized boolean acquire(int surge, long nowNanos) {
		Optional<StoredObject> stored = read();
		List<Slot> slots = otherUnexpiredSlots(stored, nowNanos);
		if (slots.size() >= surge) {
			return false;
		}
		slots.add(new Slot(this.holder, ++this.renewalCount));
		return write(stored, slots);
	}

	/**
	 * Releases the slot.
	 * @return whether it is free; if not, the caller must try again
	 */
	synchronized boolean release(long nowNanos) {
		Optional<StoredObject> stored = read();
		return stored.isEmpty() || write(stored, otherUnexpiredSlots(stored, nowNanos));
	}

	private List<Slot> otherUnexpiredSlots(Optional<StoredObject> stored, long nowNanos) {
		List<Slot> slots = stored.map((object) -> Json.read(object.value(), Slots.class).slots()).orElse(List.of());
		this.observedRenewals.keySet().retainAll(slots.stream().map(Slot::holder).toList());
		return new ArrayList<>(slots.stream()
			.filter((slot) -> !slot.holder().equals(this.holder) && !expired(slot, nowNanos))
			.toList());
	}

	private boolean expired(Slot slot, long nowNanos) {
		ObservedRenewal observed = this.observedRenewals.get(slot.holder());
		if (observed == null || observed.renewal() != slot.renewal()) {
			this.observedRenewals.put(slot.holder(), new ObservedRenewal(slot.renewal(), nowNanos));
			return false;
		}
		return nowNanos - observed.firstSeenNanos() > TimeUnit.MILLISECONDS.toNanos(this.leaseMillis * 3 / 2);
	}

	private Optional<StoredObject> read() {
		try {
			return Optional.of(Futures.await(this.store.get(KIND, this.service)));
		}
		catch (PlatformException ex) {
			if (ex.kind() == Kind.NOT_FOUND) {
				return Optional.empty();
			}
			throw ex;
		}
	}

	private boolean write(Optional<StoredObject> stored, List<Slot> slots) {
		byte[] value = Json.bytes(new Slots(slots));
		try {
			Futures.await(stored.map((object) -> this.store.update(KIND, this.service, value, object.version()))
				.orElseGet(() -> this.store.create(KIND, this.service, value)));
			return true;
		}
		catch (PlatformException ex) {
			if (ex.kind() == Kind.CONFLICT) {
				return false;
			}
			throw ex;
		}
	}

	/**
	 * Content of the object.
	 *
	 * @param slots slots in use
	 */
	record Slots(List<Slot> slots) {

		Slots {
			slots = List.copyOf(slots);
		}

	}

	/**
	 * A slot in use.
	 *
	 * @param holder incarnation of the holding agent
	 * @param renewal number that changes with each renewal
	 */
	record Slot(String holder, long renewal) {
	}

	private record ObservedRenewal(long renewal, long firstSeenNanos) {
	}

}
