package org.jaywood.gateway;

/**
 * Time at which a connection is overdue. Only the second check that finds it overdue
 * counts, since a stall of the process may have delayed the response. Safe for use by
 * several threads.
 */
final class OverdueTimer {

	private long dueMillis = Long.MAX_VALUE;

	private boolean foundOverdue;

	/**
	 * Sets the boot time from which the connection is overdue, {@link Long#MAX_VALUE} for
	 * never.
	 */
	synchronized void set(long millis) {
		this.dueMillis = millis;
		this.foundOverdue = false;
	}

	/**
	 * Checks the time.
	 * @return whether the previous check and this one found the connection overdue
	 */
	synchronized boolean check(long nowMillis) {
		boolean overdue = nowMillis >= this.dueMillis;
		boolean confirmed = overdue && this.foundOverdue;
		this.foundOverdue = overdue;
		return confirmed;
	}

}
