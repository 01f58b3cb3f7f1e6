package org.jaywood.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jaywood.feed.BootClock;

/**
 * Leases of trials that stay valid when the store is restored from an older copy. The
 * store may then lack leases that this gateway holds, so that another gateway would make
 * the same trial again, and have leases that it has released, so that no gateway would
 * make that trial. Both are written again. Used by one thread at a time.
 */
final class DurableTrialLeases implements TrialLeases {

	/**
	 * Time for which a released lease is remembered; a copy of the store is some seconds
	 * old.
	 */
	private static final long RELEASE_MEMORY_MILLIS = 60_000;

	private final TrialLeases leases;

	private final LongSupplier era;

	private final Set<String> held = new HashSet<>();

	/** Time of the release by name of the lease. */
	private final Map<String, Long> released = new HashMap<>();

	private volatile long writtenEra;

	/**
	 * Creates the leases.
	 * @param leases leases in the store
	 * @param era highest era of the store that this process has seen
	 */
	DurableTrialLeases(TrialLeases leases, LongSupplier era) {
		this.leases = leases;
		this.era = era;
	}

	@Override
	public boolean tryAcquire(String name) throws IOException {
		boolean granted = this.leases.tryAcquire(name);
		this.released.remove(name);
		if (granted) {
			this.held.add(name);
		}
		return granted;
	}

	@Override
	public boolean reacquire(String name) throws IOException {
		boolean granted = this.leases.reacquire(name);
		if (!granted) {
			this.held.remove(name);
		}
		return granted;
	}

	@Override
	public void release(String name) throws IOException {
		long nowMillis = BootClock.nowMillis();
		this.held.remove(name);
		this.released.values().removeIf((releasedMillis) -> nowMillis - releasedMillis > RELEASE_MEMORY_MILLIS);
		this.released.put(name, nowMillis);
		this.leases.release(name);
	}

	/**
	 * Whether the store was restored since the leases were written.
	 */
	boolean restored() {
		return this.era.getAsLong() > this.writtenEra;
	}

	/**
	 * Writes the leases again if the store was restored.
	 * @param onLost receives the names of leases that another gateway has acquired
	 * meanwhile
	 * @throws IOException if the store does not confirm it; this may be repeated
	 */
	void writeAgain(Consumer<String> onLost) throws IOException {
		long latestEra = this.era.getAsLong();
		if (latestEra <= this.writtenEra) {
			return;
		}
		long sinceMillis = BootClock.nowMillis() - RELEASE_MEMORY_MILLIS;
		this.released.values().removeIf((releasedMillis) -> releasedMillis < sinceMillis);
		for (String name : List.copyOf(this.held)) {
			if (!reacquire(name)) {
				onLost.accept(name);
			}
		}
		for (String name : this.released.keySet()) {
			this.leases.release(name);
		}
		this.writtenEra = latestEra;
	}

}
