package org.jaywood.config;

import java.util.Map;
import java.util.Optional;

import org.jaywood.wire.Digests;
import org.jaywood.wire.Json;

/**
 * The declared state of a whole installation: which weights each service has, in which
 * data centres it runs, and which data centres are in service. It is parsed, checked,
 * applied and distributed as one value.
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
	 * Returns the SHA-256 of the canonical JSON of this deployment, in hexadecimal.
	 */
	public String digest() {
		return Digests.sha256(Json.bytes(this));
	}

	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Whether a service may receive new calls in a data centre.
	 */
	public boolean acceptsNewWork(String serviceName, String dataCentreName) {
		DataCentre dataCentre = this.dataCentres.get(dataCentreName);
		return dataCentre != null && dataCentre.inService()
				&& service(serviceName).filter((spec) -> spec.dataCentres().contains(dataCentreName)).isPresent();
	}

}
