package org.jaywood.gateway;

import java.io.IOException;

import org.jaywood.leader.LeaderTask;
import org.jaywood.wire.Exchange;

/**
 * Duty that one gateway, the leader, has for all. The others report to it.
 */
interface Duty {

	/**
	 * Returns what the leader does.
	 */
	LeaderTask task();

	/**
	 * Returns the path of the operator port at which the leader takes the reports.
	 */
	String path();

	/**
	 * Handles a report of a gateway, also while this process is not the leader.
	 */
	void handle(Exchange exchange, LeaderRunner runner) throws IOException;

	/**
	 * Reports to the leader where that is due. Called at short intervals in each gateway,
	 * on a thread of the duty.
	 */
	void onTick(LeaderRunner runner);

}
