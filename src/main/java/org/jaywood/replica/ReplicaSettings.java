package org.jaywood.replica;

import org.jaywood.wire.Address;

/**
 * Settings of the agent of an engine.
 *
 * @param vm name of the VM
 * @param engine address at which the engine takes calls
 * @param listen address at which peers and gateways reach this process
 * @param service service of the engine
 * @param region region of the VM
 * @param dataCentre data centre of the VM
 * @param linkBytesPerSecond speed of the link of the VM, shared with its engine, in bytes
 * per second
 * @param graceMillis time between the signal to stop and the forced end
 * @param versionGraceMillis time after the announcement of a version in which calls may
 * begin on the one before
 */
public record ReplicaSettings(String vm, Address engine, Address listen, String service, String region,
		String dataCentre, long linkBytesPerSecond, long graceMillis, long versionGraceMillis) {
}
