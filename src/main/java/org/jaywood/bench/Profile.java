package org.jaywood.bench;

import java.util.List;
import java.util.stream.Stream;

/**
 * Data centres, services and links of an installation.
 *
 * @param name name of the profile
 * @param sites data centres with their regions; the platform is in the first
 * @param services services with the number of their upstreams
 * @param links delays and rates between data centres
 */
public record Profile(String name, List<Site> sites, List<ServiceShape> services, Links links) {

	/** Kitamori Safety Services Division. */
	public static final Profile KITAMORI = new Profile("kitamori",
			List.of(new Site("kushiro-a", "doto"), new Site("asahikawa-a", "dohoku"), new Site("hakodate-a", "donan")),
			List.of(new ServiceShape("pool", true, 6), new ServiceShape("visit-desk", false, 3),
					new ServiceShape("depot-ops", false, 1)),
			new Links(1_000, 2_000, 14_000_000 / 8));

	/** Southern Allotment Waterers Association. */
	public static final Profile ASSOCIATION = new Profile("association",
			List.of(new Site("macon-room", "ga-piedmont"), new Site("selma-room", "al-blackbelt"),
					new Site("monroe-room", "la-delta")),
			List.of(new ServiceShape("rota-scribe", true, 11), new ServiceShape("rota-desk", false, 3),
					new ServiceShape("member-roll", false, 1)),
			new Links(1_500, 3_000, 15_000_000 / 8));

	public static Profile named(String name) {
		return Stream.of(KITAMORI, ASSOCIATION)
			.filter((profile) -> profile.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"profile '" + name + "' is not allowed: expected kitamori or association"));
	}

	/**
	 * Returns this profile with another number of upstreams for a service.
	 */
	public Profile withUpstreams(String service, int upstreams) {
		return new Profile(this.name, this.sites, this.services.stream()
			.map((shape) -> shape.name().equals(service) ? new ServiceShape(service, shape.model(), upstreams) : shape)
			.toList(), this.links);
	}

	/**
	 * Returns this profile with a single service.
	 */
	public Profile withOnly(ServiceShape service) {
		return new Profile(this.name, this.sites, List.of(service), this.links);
	}

	/**
	 * Returns the first model service.
	 */
	public ServiceShape model() {
		return this.services.stream().filter(ServiceShape::model).findFirst().orElseThrow();
	}

	/**
	 * A data centre and its region.
	 */
	public record Site(String dataCentre, String region) {
	}

	/**
	 * A service and the number of its upstreams.
	 */
	public record ServiceShape(String name, boolean model, int upstreams) {
	}

	/**
	 * Links between data centres.
	 *
	 * @param dataCentreDelayMicros one-way delay between data centres of a region
	 * @param regionDelayMicros one-way delay between regions
	 * @param regionBytesPerSecond rate of the link of each region pair, each way
	 */
	public record Links(long dataCentreDelayMicros, long regionDelayMicros, long regionBytesPerSecond) {
	}

}
