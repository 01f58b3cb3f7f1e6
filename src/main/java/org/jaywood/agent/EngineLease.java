package org.jaywood.agent;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jaywood.store.Futures;
import org.jaywood.store.ObjectStore;
import org.jaywood.store.PlatformException;
import org.jaywood.store.PlatformException.Kind;
import org.jaywood.store.StoredObject;
import org.jaywood.wire.Json;

/**
 * Right of one agent to send orders to its engine, stored in the object
 * {@code engines/<vm>}. Each holder has its own fencing token, which fences orders of
 * earlier holders. A lease is renewed only when an order is due, so an idle fleet writes
 * nothing.
 */
final class EngineLease {

	static final String KIND = "engines";

	private final ObjectStore store;

	private final String vm;

	private final String holder;

	private final long leaseMillis;

	private final long orderTimeoutMillis;

	private long fencingToken;

	private long leaseStartNanos;

	private long earlierOrdersExpireNanos;

	private boolean earlierOrdersPossible;

	private boolean everAcquired;

	private boolean superseded;

	EngineLease(ObjectStore store, String vm, String holder, long leaseMillis, long orderTimeoutMillis) {
		this.store = store;
		this.vm = vm;
		this.holder = holder;
		this.leaseMillis = leaseMillis;
		this.orderTimeoutMillis = orderTimeoutMillis;
	}

	/**
	 * Obtains or renews the lease.
	 * @param nowNanos present time of the monotonic clock; the lease starts here, before
	 * the write, so that it never lasts longer for its holder than for others
	 * @throws PlatformException if the platform does not respond; the next call then
	 * reads the outcome
	 */
	synchronized void renew(long nowNanos) {
		Optional<StoredObject> object = read();
		StoredLease previous = object.map((existing) -> Json.read(existing.value(), StoredLease.class)).orElse(null);
		long storedToken = (previous != null) ? previous.incarnation() : 0;
		boolean ownLease = previous != null && previous.holder().equals(this.holder);
		if (this.everAcquired && !ownLease) {
			this.superseded = true;
			return;
		}
		boolean sameToken = ownLease && storedToken == this.fencingToken;
		long token = sameToken ? storedToken : storedToken + 1;
		byte[] value = Json.bytes(new StoredLease(token, this.holder, this.leaseMillis));
		Futures.await(object.map((existing) -> this.store.update(KIND, this.vm, value, existing.version()))
			.orElseGet(() -> this.store.create(KIND, this.vm, value)));
		if (!sameToken) {
			this.earlierOrdersPossible = previous != null;
			long previousLeaseMillis = (previous != null && !ownLease) ? previous.leaseMillis() : 0;
			this.earlierOrdersExpireNanos = System.nanoTime()
					+ TimeUnit.MILLISECONDS.toNanos(previousLeaseMillis + this.orderTimeoutMillis);
		}
		this.fencingToken = token;
		this.everAcquired = true;
		this.leaseStartNanos = nowNanos;
	}

	private Optional<StoredObject> read() {
		try {
			return Optional.of(Futures.await(this.store.get(KIND, this.vm)));
		}
		catch (PlatformException ex) {
			if (ex.kind() == Kind.NOT_FOUND) {
				return Optional.empty();
			}
			throw ex;
		}
	}

	/**
	 * Discards the fencing token after an order whose outcome is unknown, so that the
	 * next order carries a higher one.
	 */
	synchronized void discardFencingToken() {
		this.fencingToken = 0;
	}

	/**
	 * Whether this agent has discarded its fencing token, so that another agent may own
	 * the engine.
	 */
	synchronized boolean fencingTokenDiscarded() {
		return this.everAcquired && this.fencingToken == 0;
	}

	/**
	 * Whether an order may be sent now.
	 */
	synchronized boolean valid(long nowNanos) {
		return this.fencingToken > 0 && !this.superseded
				&& nowNanos - this.leaseStartNanos < TimeUnit.MILLISECONDS.toNanos(this.leaseMillis);
	}

	/**
	 * Returns the time in milliseconds until no order with an earlier fencing token can
	 * arrive any more, for an engine that does not check tokens.
	 */
	synchronized long earlierOrdersExpireInMillis(long nowNanos) {
		return this.earlierOrdersPossible
				? Math.max(0, 1 + TimeUnit.NANOSECONDS.toMillis(this.earlierOrdersExpireNanos - nowNanos)) : 0;
	}

	/**
	 * Whether another agent has taken over the engine permanently.
	 */
	synchronized boolean superseded() {
		return this.superseded;
	}

	synchronized long fencingToken() {
		return this.fencingToken;
	}

	/**
	 * Content of the object.
	 *
	 * @param incarnation fencing token of the holder
	 * @param holder incarnation of the holding agent
	 * @param leaseMillis length of its lease
	 */
	record StoredLease(long incarnation, String holder, long leaseMillis) {
	}

}
