package org.jaywood.router;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory reserved for one caller: its request body, the credit window granted to the
 * agent and buffered answers. Bytes of a stream need no memory beyond the window, since
 * credit is granted only as the caller takes them.
 */
final class CallerMemory implements AutoCloseable {

	private static final long NOT_BLOCKED = Long.MIN_VALUE;

	private final CallerMemoryBudget budget;

	private final Runnable connectionCloser;

	private final AtomicLong reservedBytes = new AtomicLong();

	private volatile long blockedSinceMillis = NOT_BLOCKED;

	CallerMemory(CallerMemoryBudget budget, Runnable connectionCloser) {
		this.budget = budget;
		this.connectionCloser = connectionCloser;
	}

	/**
	 * Reserves more bytes.
	 * @param bytes number of bytes
	 * @param nowMillis present time
	 * @return whether the budget allows it
	 */
	boolean tryReserve(long bytes, long nowMillis) {
		if (!this.budget.tryReserve(bytes, this, nowMillis)) {
			return false;
		}
		this.reservedBytes.addAndGet(bytes);
		return true;
	}

	void release(long bytes) {
		this.reservedBytes.addAndGet(-bytes);
		this.budget.release(bytes);
	}

	/**
	 * Records the start of a write to the caller, which may block.
	 */
	void beginWrite(long nowMillis) {
		this.blockedSinceMillis = nowMillis;
	}

	void endWrite() {
		this.blockedSinceMillis = NOT_BLOCKED;
	}

	long blockedMillis(long nowMillis) {
		long sinceMillis = this.blockedSinceMillis;
		return (sinceMillis != NOT_BLOCKED) ? nowMillis - sinceMillis : 0;
	}

	long reservedBytes() {
		return this.reservedBytes.get();
	}

	/**
	 * Closes the caller's connection and releases its reservation at once: the memory can
	 * be collected as soon as the blocked write fails.
	 */
	void abort() {
		releaseAll();
		this.connectionCloser.run();
	}

	private void releaseAll() {
		this.budget.release(this.reservedBytes.getAndSet(0));
	}

	@Override
	public void close() {
		this.budget.remove(this);
		releaseAll();
	}

}
