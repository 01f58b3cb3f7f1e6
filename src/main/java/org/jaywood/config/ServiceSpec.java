package org.jaywood.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;

import org.jaywood.wire.Digests;

/**
 * Specification of a service: its weights, data centres and limits.
 *
 * @param kind kind of its upstreams
 * @param weights those of the model first, then those of adapters; empty for a plain
 * service
 * @param dataCentres data centres in which it runs
 * @param limits limits of the service
 */
public record ServiceSpec(ServiceKind kind, List<WeightsRef> weights, List<String> dataCentres, ServiceLimits limits) {

	public ServiceSpec {
		weights = List.copyOf(weights);
		dataCentres = List.copyOf(dataCentres);
	}

	/**
	 * Returns the digest of the complete set of weights: SHA-256 of the sorted manifest
	 * digests joined by commas.
	 */
	@JsonIgnore
	public String weightsDigest() {
		return Digests.ofSet(this.weights.stream().map(WeightsRef::manifest).toList());
	}

}
