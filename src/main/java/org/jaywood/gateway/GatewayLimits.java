package org.jaywood.gateway;

import org.jaywood.wire.MemoryLimits;

/**
 * Limits on what a gateway holds for others.
 *
 * @param memory limits of the memory budget
 * @param maxConnections largest number of open connections of callers
 */
public record GatewayLimits(MemoryLimits memory, int maxConnections) {

	/** Share of the heap that the memory budget takes, unless set, in percent. */
	public static final int DEFAULT_MEMORY_PERCENT = 35;

	/** Largest share of the heap that can be set, in percent. */
	public static final int MAX_MEMORY_PERCENT = 60;

	private static final int PERCENT = 100;

	/** One part of the memory budget in this many is the share of small requests. */
	private static final int SMALL_SHARE_DIVISOR = 4;

	private static final long MAX_SMALL_BYTES = 64 * 1024;

	/**
	 * Heap for each connection and its call; its buffers in the kernel may take as much
	 * again.
	 */
	private static final long HEAP_BYTES_PER_CONNECTION = 64 * 1024;

	/** Share of the memory budget that connections at rest take at most. */
	private static final double RESTING_SHARE = 0.75;

	/**
	 * Returns the limits of a process.
	 * @param heapBytes limit of its heap
	 * @param memoryPercent share of the heap that the memory budget takes
	 */
	public static GatewayLimits ofHeap(long heapBytes, int memoryPercent) {
		long budgetBytes = heapBytes / PERCENT * memoryPercent;
		return new GatewayLimits(new MemoryLimits(budgetBytes, budgetBytes / SMALL_SHARE_DIVISOR, MAX_SMALL_BYTES),
				maxConnections(heapBytes, budgetBytes));
	}

	private static int maxConnections(long heapBytes, long budgetBytes) {
		long restingConnections = Math.round(budgetBytes * RESTING_SHARE / CallerConnection.RESTING_BYTES);
		return Math.toIntExact(
				Math.min(Math.min(heapBytes / HEAP_BYTES_PER_CONNECTION, restingConnections), Integer.MAX_VALUE));
	}

}
