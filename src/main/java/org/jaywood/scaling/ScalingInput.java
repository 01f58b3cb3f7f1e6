package org.jaywood.scaling;

import java.util.Map;

import org.jaywood.routing.ServiceProfile;

/**
 * What the number of engines is decided by.
 *
 * @param demandKnown whether any gateway has reported its demand lately
 * @param demandComplete whether nearly all gateways have, so that a demand that fell is
 * not that of gateways which the leader does not hear
 * @param services services that are scaled, by name
 */
public record ScalingInput(boolean demandKnown, boolean demandComplete, Map<String, Service> services) {

	/**
	 * Service that is scaled.
	 *
	 * @param bounds bounds in its configuration
	 * @param slots slots of one of its engines, 0 if no engine is known
	 * @param dataCentres its engines and callers by data centre
	 */
	public record Service(ServiceProfile.Scaling bounds, int slots, Map<String, DataCentre> dataCentres) {
	}

	/**
	 * Data centre.
	 *
	 * @param engines engines of the service that serve there
	 * @param closed whether its engines get no calls
	 * @param demand demand of the callers there
	 */
	public record DataCentre(int engines, boolean closed, SlotDemand demand) {
	}

}
