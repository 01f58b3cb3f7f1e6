package org.jaywood.wire;

/**
 * Reason for which an agent refused an attempt. The refused request did not reach the
 * upstream; for all reasons but {@link #DUPLICATE}, no earlier request of the same
 * attempt did either.
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
	 * The attempt was admitted before, or is so old that its record has been deleted. The
	 * upstream may have run it, so its outcome can only be found by a fence.
	 */
	DUPLICATE,

	/** The attempt was voided by a fence. */
	FENCED,

	/** The attempt is addressed to another incarnation of the agent. */
	OTHER_INCARNATION,

	/** The agent cannot determine whether its configuration is still in force. */
	STALE_CONFIGURATION,

	/** The upstream is not ready yet. */
	NOT_READY,

	/** The deadline of the call has passed. */
	DEADLINE,

	/** The upstream belongs to another service. */
	UNKNOWN_SERVICE;

	/**
	 * Whether the upstream certainly never received the attempt.
	 */
	public boolean provesNotRun() {
		return this != DUPLICATE;
	}

}
