package org.jaywood.config;

import java.util.Map;
import java.util.Optional;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * The declared state of a whole installation: which weights serve which services in which
 * data centres, and which data centres are in service. It is the root of the
 * configuration aggregate: it is parsed, checked, applied and spread as one value.
 *
 * @param dataCentres data centres by name
 * @param services services by name
 * @param workspaces workspaces by name
 */
public record Deployment(Map<String, DataCentre> dataCentres, Map<String, ServiceSpec> services,
		Map<String, WorkspaceSpec> workspaces) {

	/** A deployment that declares nothing. */
	public static final Deployment EMPTY = new Deployment(Map.of(), Map.of(), Map.of());

	public Deployment {
		dataCentres = Map.copyOf(dataCentres);
		services = Map.copyOf(services);
		workspaces = Map.copyOf(workspaces);
	}

	/**
	 * SHA-256 of the canonical JSON of this deployment, in hexadecimal.
	 */
	public String digest() {
		return Digests.sha256(Json.bytes(this));
	}

	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Whether new work may go to a service in a data centre.
	 */
	public boolean acceptsNewWork(String serviceName, String dataCentreName) {
		DataCentre dataCentre = this.dataCentres.get(dataCentreName);
		return dataCentre != null && dataCentre.inService()
				&& service(serviceName).filter((spec) -> spec.dataCentres().contains(dataCentreName)).isPresent();
	}

}
