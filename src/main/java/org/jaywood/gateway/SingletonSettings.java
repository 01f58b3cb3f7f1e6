package org.jaywood.gateway;

import java.util.Set;

import org.jaywood.wire.Address;

/**
 * Settings of the singletons that one gateway has at a time.
 *
 * @param names names of the singletons
 * @param cloud address of the cloud API
 * @param callsPerSecond calls a second that the cloud API takes from all processes
 * @param leaseMillis length of the lease of the leader
 * @param usageWindowMillis length of a usage window
 * @param usageDueMillis time after the end of a window at which its report is due
 */
public record SingletonSettings(Set<String> names, Address cloud, double callsPerSecond, long leaseMillis,
		long usageWindowMillis, long usageDueMillis) {

	public SingletonSettings {
		names = Set.copyOf(names);
	}

}
