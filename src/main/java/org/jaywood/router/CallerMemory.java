package org.jaywood.router;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Account of the memory held for one caller: its request body, the window granted to the
 * agent and answers kept whole. The bytes of a stream wait in the window only, since
 * credit is granted as the caller takes them.
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
	 * Holds more bytes.
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
	 * Notes that a write to the caller begins, which may block.
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
	 * Closes the caller's connection, which also frees its memory at once: the bytes are
	 * unreachable as soon as the blocked write fails.
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
