package org.jaywood.gateway;

import java.util.Set;

import org.jaywood.leader.LeaseStore;
import org.jaywood.metering.UsageApi;
import org.jaywood.metering.UsageCountStore;
import org.jaywood.scaling.ScalingApi;

/**
 * Connections of the singletons of a leader to the store and to the cloud API.
 *
 * @param settings settings of the singletons
 * @param leases lease of the leader
 * @param usage takes the reports of usage
 * @param usageCounts counts of gateways that do not reach the leader
 * @param scaling orders engines
 * @param dataCentres all data centres
 */
public record LeaderPorts(SingletonSettings settings, LeaseStore leases, UsageApi usage, UsageCountStore usageCounts,
		ScalingApi scaling, Set<String> dataCentres) {
}
