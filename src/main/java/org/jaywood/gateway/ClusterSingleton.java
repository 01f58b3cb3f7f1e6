package org.jaywood.gateway;

import java.io.IOException;

import org.jaywood.leader.LeaderTask;
import org.jaywood.wire.Exchange;

/**
 * Task that one gateway, the leader, runs for all gateways. The others report to it.
 */
interface ClusterSingleton {

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
	 * on a thread of the singleton.
	 */
	void onTick(LeaderRunner runner);

}
