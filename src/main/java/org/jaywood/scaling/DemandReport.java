package org.jaywood.scaling;

import java.util.List;

/**
 * Message: demand that one gateway sees, for the leader.
 *
 * @param gateway name of the VM of the gateway
 * @param dataCentre its data centre
 * @param services demand for each service that is scaled
 */
public record DemandReport(String gateway, String dataCentre, List<ServiceDemand> services) {
}
