package org.jaywood.router;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory that the process holds for callers. It never exceeds its limit: under pressure
 * the largest holder among those whose caller does not read is failed, and if there is
 * none, the new holder is refused.
 */
final class CallerMemoryBudget {

	/** A caller blocked for less time is taken for a normal one. */
	private static final long SLOW_MILLIS = 1_000;

	private final long limitBytes;

	private final long stallMillis;

	private final AtomicLong heldBytes = new AtomicLong();

	private final AtomicLong aborted = new AtomicLong();

	private final Set<CallerMemory> holders = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a budget.
	 * @param limitBytes bytes held at most
	 * @param stallMillis longest time a caller may block a write
	 */
	CallerMemoryBudget(long limitBytes, long stallMillis) {
		this.limitBytes = limitBytes;
		this.stallMillis = stallMillis;
	}

	/**
	 * Opens the buffer of a caller, which holds nothing yet.
	 * @param abort closes the caller's connection
	 */
	CallerMemory open(Runnable abort) {
		CallerMemory buffer = new CallerMemory(this, abort);
		this.holders.add(buffer);
		return buffer;
	}

	boolean reserve(long bytes, CallerMemory requester, long nowMillis) {
		while (this.heldBytes.addAndGet(bytes) > this.limitBytes) {
			this.heldBytes.addAndGet(-bytes);
			Optional<CallerMemory> victim = largestSlow(requester, nowMillis);
			if (victim.isEmpty()) {
				return false;
			}
			abort(victim.get());
		}
		return true;
	}

	private Optional<CallerMemory> largestSlow(CallerMemory requester, long nowMillis) {
		return this.holders.stream()
			.filter((holder) -> holder != requester && holder.blockedMillis(nowMillis) >= SLOW_MILLIS)
			.max(Comparator.comparingLong(CallerMemory::heldBytes)
				.thenComparingLong((holder) -> holder.blockedMillis(nowMillis)));
	}

	private void abort(CallerMemory holder) {
		if (this.holders.remove(holder)) {
			this.aborted.incrementAndGet();
			holder.abort();
		}
	}

	/**
	 * Fails callers that have blocked a write for too long.
	 */
	void abortStalled(long nowMillis) {
		this.holders.stream()
			.filter((holder) -> holder.blockedMillis(nowMillis) > this.stallMillis)
			.forEach(this::abort);
	}

	void release(long bytes) {
		this.heldBytes.addAndGet(-bytes);
	}

	void remove(CallerMemory buffer) {
		this.holders.remove(buffer);
	}

	long heldBytes() {
		return this.heldBytes.get();
	}

	long aborted() {
		return this.aborted.get();
	}

	int holders() {
		return this.holders.size();
	}

}
