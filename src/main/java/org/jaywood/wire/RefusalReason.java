package org.jaywood.wire;

/**
 * Why an agent refused a hand-over. This hand-over did not reach the upstream. For all
 * reasons but {@link #DUPLICATE} the attempt never did.
 */
public enum RefusalReason {

	/** The agent or its VM is stopping. */
	DRAINING,

	/** The data centre is out of service. */
	DATA_CENTRE_OUT,

	/** The upstream is cold and holds as much as it can take. */
	COLD_FULL,

	/** The upstream holds as many calls as it can take. */
	FULL,

	/** The upstream's memory is taken by other calls. */
	MEMORY_FULL,

	/** The upstream does not serve the weights that the call needs. */
	WRONG_WEIGHTS,

	/**
	 * The attempt was admitted before, or its record is too old to tell. The upstream may
	 * have run it, so only a fence tells its outcome.
	 */
	DUPLICATE,

	/** The attempt was voided by a fence. */
	FENCED,

	/** The call is meant for another incarnation of the agent. */
	OTHER_INCARNATION,

	/** The agent cannot know whether its configuration is still in force. */
	STALE_CONFIGURATION,

	/** The upstream does not serve yet. */
	NOT_READY,

	/** The time of the call has run out. */
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
