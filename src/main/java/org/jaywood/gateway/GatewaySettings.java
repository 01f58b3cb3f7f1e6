package org.jaywood.gateway;

import org.jaywood.routing.DispatchSettings;
import org.jaywood.wire.Address;

/**
 * Settings of a gateway.
 *
 * @param vm name of the VM
 * @param caller where callers connect
 * @param ready where the balancer asks whether callers may connect
 * @param readyPath path of that question
 * @param operator where the dump and the metrics are served
 * @param agentPort port of the agents, on the VM of their engine
 * @param dispatch bounds of the dispatcher
 * @param retryRatio retries allowed for each call of a service
 * @param retryWindowExtra retries allowed besides in a window
 * @param retryWindowMillis length of that window
 * @param keyLifetimeMillis age of the configuration up to which a key is accepted
 * @param routeLifetimeMillis age up to which a missing route is reported as such
 * @param graceMillis time between the signal to stop and the forced end
 */
public record GatewaySettings(String vm, Address caller, Address ready, String readyPath, Address operator,
		int agentPort, DispatchSettings dispatch, double retryRatio, double retryWindowExtra, long retryWindowMillis,
		long keyLifetimeMillis, long routeLifetimeMillis, long graceMillis) {
}
