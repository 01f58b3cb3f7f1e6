package org.jaywood.router;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory reserved for all callers of the process. It never exceeds its limit: if a
 * reservation does not fit, the caller with the largest reservation among those with a
 * blocked write is aborted, and if there is none, the reservation is refused.
 */
final class CallerMemoryBudget {

	/** A caller blocked for less time counts as reading normally. */
	private static final long MIN_BLOCKED_MILLIS = 1_000;

	private final long maxBytes;

	private final long writeStallMillis;

	private final AtomicLong reservedBytes = new AtomicLong();

	private final AtomicLong abortedCallers = new AtomicLong();

	private final Set<CallerMemory> callers = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a budget.
	 * @param maxBytes largest number of reserved bytes
	 * @param writeStallMillis longest time a caller may block a write
	 */
	CallerMemoryBudget(long maxBytes, long writeStallMillis) {
		this.maxBytes = maxBytes;
		this.writeStallMillis = writeStallMillis;
	}

	/**
	 * Registers a caller with an empty reservation.
	 * @param connectionCloser closes the caller's connection
	 */
	CallerMemory openCaller(Runnable connectionCloser) {
		CallerMemory caller = new CallerMemory(this, connectionCloser);
		this.callers.add(caller);
		return caller;
	}

	boolean tryReserve(long bytes, CallerMemory requester, long nowMillis) {
		while (this.reservedBytes.addAndGet(bytes) > this.maxBytes) {
			this.reservedBytes.addAndGet(-bytes);
			Optional<CallerMemory> slowCaller = largestBlocked(requester, nowMillis);
			if (slowCaller.isEmpty()) {
				return false;
			}
			abort(slowCaller.get());
		}
		return true;
	}

	private Optional<CallerMemory> largestBlocked(CallerMemory requester, long nowMillis) {
		return this.callers.stream()
			.filter((caller) -> caller != requester && caller.blockedMillis(nowMillis) >= MIN_BLOCKED_MILLIS)
			.max(Comparator.comparingLong(CallerMemory::reservedBytes)
				.thenComparingLong((caller) -> caller.blockedMillis(nowMillis)));
	}

	private void abort(CallerMemory caller) {
		if (this.callers.remove(caller)) {
			this.abortedCallers.incrementAndGet();
			caller.abort();
		}
	}

	/**
	 * Aborts callers that have blocked a write for too long.
	 */
	void abortStalled(long nowMillis) {
		this.callers.stream()
			.filter((caller) -> caller.blockedMillis(nowMillis) > this.writeStallMillis)
			.forEach(this::abort);
	}

	void release(long bytes) {
		this.reservedBytes.addAndGet(-bytes);
	}

	void remove(CallerMemory caller) {
		this.callers.remove(caller);
	}

	long reservedBytes() {
		return this.reservedBytes.get();
	}

	long abortedCallers() {
		return this.abortedCallers.get();
	}

	int callers() {
		return this.callers.size();
	}

}
