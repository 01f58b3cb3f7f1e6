package org.jaywood.gateway;

import org.jaywood.leader.LeaderTask;
import org.jaywood.wire.Handler;

/**
 * Duty of the leader, to which all gateways report.
 *
 * @param task what the leader does
 * @param path path of the operator port at which the leader takes the reports
 * @param handler handles such a report, also while this process is not the leader
 * @param onTick reports to the leader; called at short intervals on a thread of its own
 * in each gateway
 */
record Duty(LeaderTask task, String path, Handler handler, Runnable onTick) {
}
