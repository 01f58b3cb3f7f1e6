package org.jaywood.wire;

/**
 * Thrown if bytes of another party do not fit into the {@link MemoryBudget}, or if its
 * reservation was evicted.
 */
public final class MemoryLimitException extends WireException {

	public MemoryLimitException(String what) {
		super("no memory for " + what);
	}

}
