package org.jaywood.wire;

/**
 * Limits of a {@link MemoryBudget}.
 *
 * @param maxBytes memory that all reservations may hold together
 * @param smallShareBytes part of it that large reservations never take
 * @param maxSmallBytes largest size of a reservation that counts as small
 */
public record MemoryLimits(long maxBytes, long smallShareBytes, long maxSmallBytes) {

	public MemoryLimits {
		if (maxBytes <= 0 || smallShareBytes < 0 || smallShareBytes > maxBytes || maxSmallBytes < 0) {
			throw new IllegalArgumentException("a share of " + smallShareBytes + " of " + maxBytes
					+ " bytes for reservations of at most " + maxSmallBytes + " bytes is not possible");
		}
	}

	/**
	 * Limits without a share for small reservations.
	 * @param maxBytes memory that all reservations may hold together
	 */
	public static MemoryLimits ofTotal(long maxBytes) {
		return new MemoryLimits(maxBytes, 0, 0);
	}

	long maxLargeBytes() {
		return this.maxBytes - this.smallShareBytes;
	}

}
