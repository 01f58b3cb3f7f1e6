package org.jaywood.agent;

import org.jspecify.annotations.Nullable;

import org.jaywood.weights.WeightMode;
import org.jaywood.wire.Address;
import org.jaywood.wire.Credential;

/**
 * Settings of an agent.
 *
 * @param vm name of the VM
 * @param region region of the VM
 * @param dataCentre data centre of the VM
 * @param service service of the upstream
 * @param listenAddress peer port to listen on
 * @param advertisedAddress address under which others reach the peer port
 * @param operatorAddress operator port
 * @param upstreamAddress address of the upstream
 * @param platformAddress address of the object API and the VM list
 * @param storeAddress address of the weight store
 * @param storeRegion region of the weight store
 * @param credential credential of the processes, or null
 * @param drainMillis longest time of a graceful shutdown
 * @param stagingBytes maximum size of the staging area
 * @param regionLinkBytesPerSecond rate of weight traffic from one region to another
 * @param leaseMillis length of the lease of the engine and of an activation slot
 * @param weightMode how weights are distributed
 */
public record AgentSettings(String vm, String region, String dataCentre, String service, Address listenAddress,
		Address advertisedAddress, Address operatorAddress, Address upstreamAddress, Address platformAddress,
		Address storeAddress, String storeRegion, @Nullable Credential credential, long drainMillis, long stagingBytes,
		long regionLinkBytesPerSecond, long leaseMillis, WeightMode weightMode) {
}
