package org.jaywood.leader;

/**
 * Term of a leader: the time for which one process may act, and the fencing token of its
 * calls.
 *
 * @param holder name of the VM of the leader
 * @param token fencing token; it rises with each change of the leader
 * @param validUntilMillis boot time until which the leader may act
 */
public record LeaderTerm(String holder, long token, long validUntilMillis) {

	/**
	 * Whether the leader may act now. Checked right before each call, since the process
	 * may have been suspended.
	 */
	public boolean isValid(long nowMillis) {
		return nowMillis < this.validUntilMillis;
	}

}
