package org.jaywood.gateway;

import org.jaywood.leader.LeaseStore;

/**
 * Connections of the duties of a leader to the store and to the cloud API.
 *
 * @param settings settings of the duties
 * @param leases lease of the leader
 */
public record LeaderPorts(DutySettings settings, LeaseStore leases) {
}
