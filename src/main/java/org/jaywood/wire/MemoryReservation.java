package org.jaywood.wire;

/**
 * Memory that a process holds for one other party: a caller, an upstream, a peer or the
 * store. It belongs to a {@link MemoryBudget}, which may evict it; its holder then frees
 * the memory and closes it. The state is guarded by the budget.
 */
public final class MemoryReservation implements AutoCloseable {

	private static final long NOT_WAITING = Long.MIN_VALUE;

	private final MemoryBudget budget;

	private final MemoryUse use;

	private final Runnable onEvicted;

	private volatile long waitingSinceMillis = NOT_WAITING;

	private volatile Standing standing = Standing.UNANSWERED;

	private volatile boolean open = true;

	private volatile long bytes;

	MemoryReservation(MemoryBudget budget, MemoryUse use, Runnable onEvicted) {
		this.budget = budget;
		this.use = use;
		this.onEvicted = onEvicted;
	}

	/**
	 * Reserves more bytes, before they are kept.
	 * @param bytes number of bytes
	 * @param nowMillis present time of a clock that is the same for the whole budget
	 * @return whether the budget allows it; never after an eviction
	 */
	public boolean tryReserve(long bytes, long nowMillis) {
		return this.budget.tryReserve(this, bytes, nowMillis);
	}

	/**
	 * Gives back bytes that are no longer kept. Does nothing after an eviction.
	 */
	public void release(long bytes) {
		this.budget.release(this, bytes);
	}

	/**
	 * Records the start of a read from or a write to the other party, which may block.
	 */
	public void beginWait(long nowMillis) {
		this.waitingSinceMillis = nowMillis;
	}

	/**
	 * Records that the read or write has returned.
	 */
	public void endWait() {
		this.waitingSinceMillis = NOT_WAITING;
	}

	/**
	 * Records that the other party sends bytes that are no message, so that this
	 * reservation gives way first.
	 */
	public void markInvalid() {
		this.standing = Standing.INVALID;
	}

	/**
	 * Records that a caller has received part of its answer, so that this reservation
	 * gives way last.
	 */
	public void markAnswered() {
		this.standing = Standing.ANSWERED;
	}

	/**
	 * Returns the number of bytes held.
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Whether the budget has evicted this reservation, or its holder has closed it.
	 */
	public boolean isClosed() {
		return !this.open;
	}

	/**
	 * Gives back all bytes.
	 */
	@Override
	public void close() {
		this.budget.remove(this);
	}

	MemoryUse use() {
		return this.use;
	}

	void markClosed() {
		this.open = false;
	}

	void setBytes(long bytes) {
		this.bytes = bytes;
	}

	Standing standing() {
		return this.standing;
	}

	long waitedMillis(long nowMillis) {
		long sinceMillis = this.waitingSinceMillis;
		return (sinceMillis != NOT_WAITING) ? nowMillis - sinceMillis : 0;
	}

	void notifyEvicted() {
		this.onEvicted.run();
	}

	/**
	 * Order in which reservations give way.
	 */
	enum Standing {

		/** The other party sends bytes that are no message. */
		INVALID,

		/** No byte of an answer has been passed on. */
		UNANSWERED,

		/** A caller has received part of its answer. */
		ANSWERED

	}

}
