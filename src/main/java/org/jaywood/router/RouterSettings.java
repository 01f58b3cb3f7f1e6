package org.jaywood.router;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;

/**
 * Settings of a router.
 *
 * @param vm name of the VM
 * @param region region of the VM
 * @param dataCentre data centre of the VM
 * @param callerAddress caller port
 * @param listenAddress peer port to listen on
 * @param advertisedAddress address under which others reach the peer port
 * @param operatorAddress operator port
 * @param platformAddress address of the store and the VM list
 * @param credential credential of the processes, or null
 * @param drainMillis longest time that a graceful shutdown waits for running calls
 */
public record RouterSettings(String vm, String region, String dataCentre, Address callerAddress, Address listenAddress,
		Address advertisedAddress, Address operatorAddress, Address platformAddress, @Nullable Credential credential,
		long drainMillis) {
}
