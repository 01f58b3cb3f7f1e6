package org.jaywood.wire;

/**
 * Reason for which an agent refused an attempt. The upstream does not run the refused
 * request. For every reason except {@link #DUPLICATE}, it has not run an earlier request
 * of the same attempt either.
 */
public enum RefusalReason {

	/** The agent or its VM is stopping. */
	DRAINING,

	/** The data centre is out of service. */
	DATA_CENTRE_OUT,

	/** The upstream is cold and has no free capacity. */
	COLD_FULL,

	/** The upstream runs as many calls as it can. */
	FULL,

	/** The upstream's memory is occupied by other calls. */
	MEMORY_FULL,

	/** The upstream does not serve the weights that the call needs. */
	WRONG_WEIGHTS,

	/**
	 * The attempt was admitted before, or its number is so low that the registry no
	 * longer records it. The upstream may have run it; only a fence request returns its
	 * state.
	 */
	DUPLICATE,

	/**
	 * A fence prevents the admission of the attempt, an earlier request of the attempt
	 * was refused, or the agent no longer admits attempts of its router.
	 */
	FENCED,

	/** The attempt is addressed to another incarnation of the agent. */
	OTHER_INCARNATION,

	/** The agent cannot determine whether its configuration is up to date. */
	STALE_CONFIGURATION,

	/** The upstream is not ready yet. */
	NOT_READY,

	/** The deadline of the call has passed. */
	DEADLINE,

	/** The upstream belongs to another service. */
	UNKNOWN_SERVICE;

	/**
	 * Whether this reason proves that the upstream has not run the attempt.
	 */
	public boolean provesNotRun() {
		return this != DUPLICATE;
	}

}
