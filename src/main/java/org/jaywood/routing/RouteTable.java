package org.jaywood.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jaywood.http.RequestLimits;

/**
 * The configuration in force: routes, services, keys and limits of one version.
 */
public final class RouteTable {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServiceProfile> services;

	private final Set<String> servicesWithPriorities;

	private final KeyRing keys;

	private final RequestLimits limits;

	/**
	 * Creates a table.
	 * @param version version of the configuration
	 * @param routes all routes
	 * @param services services by name
	 * @param keys keys of callers
	 * @param limits bounds on what callers may send
	 */
	public RouteTable(long version, List<Route> routes, Map<String, ServiceProfile> services, KeyRing keys,
			RequestLimits limits) {
		this.version = version;
		Comparator<Route> longestFirst = Comparator.comparingInt((route) -> -route.pathPrefix().length());
		this.routesByHost = routes.stream()
			.sorted(longestFirst)
			.collect(Collectors.groupingBy(Route::host, Collectors.toUnmodifiableList()));
		this.services = Map.copyOf(services);
		this.servicesWithPriorities = servicesWithPriorities(routes);
		this.keys = keys;
		this.limits = limits;
	}

	public long version() {
		return this.version;
	}

	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Whether calls of routes that are not open need a key.
	 */
	public boolean keysRequired() {
		return this.keys.required();
	}

	/**
	 * Finds the route of the longest matching prefix.
	 * @param host host that the caller names
	 * @param path path with its query
	 */
	public Optional<Route> route(String host, String path) {
		int query = path.indexOf('?');
		String plainPath = (query >= 0) ? path.substring(0, query) : path;
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> plainPath.startsWith(route.pathPrefix()))
			.findFirst();
	}

	/**
	 * Finds a route by its name.
	 */
	public Optional<Route> routeNamed(String name) {
		return this.routesByHost.values()
			.stream()
			.flatMap(List::stream)
			.filter((route) -> route.name().equals(name))
			.findFirst();
	}

	/**
	 * Finds a workspace that has a key, by its name.
	 */
	public Optional<Workspace> workspaceNamed(String name) {
		return this.keys.workspacesByKey()
			.values()
			.stream()
			.filter((workspace) -> workspace.name().equals(name))
			.findFirst();
	}

	public Optional<Workspace> workspace(String key) {
		return this.keys.workspaceOf(key);
	}

	public Optional<ServiceProfile> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	private static Set<String> servicesWithPriorities(List<Route> routes) {
		Map<String, Set<Integer>> priorities = new HashMap<>();
		routes.forEach((route) -> route.shares()
			.forEach((share) -> priorities.computeIfAbsent(share.service(), (key) -> new HashSet<>())
				.add(route.priority())));
		return priorities.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().size() > 1)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the services whose routes have two priorities or more.
	 */
	public Set<String> servicesWithPriorities() {
		return this.servicesWithPriorities;
	}

	/**
	 * Returns all services of model engines.
	 */
	public Stream<ServiceProfile.Engines> engines() {
		return this.services.values()
			.stream()
			.filter(ServiceProfile.Engines.class::isInstance)
			.map(ServiceProfile.Engines.class::cast);
	}

	/**
	 * Returns the origin of weights, if there is one.
	 */
	public Optional<ServiceProfile.Origin> origin() {
		return this.services.values()
			.stream()
			.filter(ServiceProfile.Origin.class::isInstance)
			.map(ServiceProfile.Origin.class::cast)
			.findFirst();
	}

}
