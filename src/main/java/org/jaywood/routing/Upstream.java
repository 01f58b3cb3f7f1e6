package org.jaywood.routing;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

import org.jaywood.wire.Address;

/**
 * One incarnation of a back end.
 *
 * @param id id of the incarnation
 * @param service service that it belongs to
 * @param address address at which it accepts calls
 * @param dataCentre its data centre
 * @param region its region
 * @param slots calls that it runs at once
 * @param leaving whether it takes no new calls
 * @param coldMillis remaining time for which it is cold, as of the report
 * @param bornMillis time of its start, which distinguishes two starts under one id
 * @param weights weights that it serves, or null for a plain service or an engine without
 * weights
 */
public record Upstream(String id, String service, Address address, String dataCentre, String region, int slots,
		boolean leaving, long coldMillis, long bornMillis, @Nullable LoadedWeights weights) {

	/**
	 * Returns the same entry with a cold time of 0.
	 */
	Upstream withoutColdTime() {
		return new Upstream(this.id, this.service, this.address, this.dataCentre, this.region, this.slots, this.leaving,
				0, this.bornMillis, this.weights);
	}

	public Optional<LoadedWeights> loaded() {
		return Optional.ofNullable(this.weights);
	}

}
