package org.jaywood.gateway;

import org.jaywood.routing.DispatchSettings;
import org.jaywood.wire.Address;

/**
 * Settings of a gateway.
 *
 * @param vm name of the VM
 * @param callerAddress address for callers
 * @param readyAddress address of the readiness check of the load balancer
 * @param readyPath path of the readiness check
 * @param operatorAddress address of the dump, the metrics and the snapshots for agents
 * @param agentPort port of the agents, on the VM of their engine
 * @param dispatch settings of the dispatcher
 * @param retryRatio retries allowed for each call of a service
 * @param retryWindowExtra additional retries allowed in a window
 * @param retryWindowMillis length of that window
 * @param keyLifetimeMillis age of the configuration up to which a key is accepted
 * @param routeLifetimeMillis age up to which a missing route or key is reported as
 * missing
 * @param shutdownGraceMillis time between the signal to stop and the forced end
 * @param limits limits on what the gateway holds for others
 */
public record GatewaySettings(String vm, Address callerAddress, Address readyAddress, String readyPath,
		Address operatorAddress, int agentPort, DispatchSettings dispatch, double retryRatio, double retryWindowExtra,
		long retryWindowMillis, long keyLifetimeMillis, long routeLifetimeMillis, long shutdownGraceMillis,
		GatewayLimits limits) {
}
